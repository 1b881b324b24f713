/**
 * A TCP relay in front of an agent. Entries name themselves in the first frame of a
 * stream, so the relay can cut the link of a single entry without a word, as a
 * partition does: bytes are held back in both directions, and a new channel gets
 * nowhere. After the cut, what is held back goes on unless its sender has gone.
 */
import { connect, createServer } from "node:net";

export class Relay {
  #cut = new Set();
  #resume = [];
  #sockets = new Set();
  #links = new Set();

  constructor(target) {
    this.target = target;
  }

  async start() {
    this.server = createServer((socket) => this.#accept(socket));
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  cut(entry) {
    this.#cut.add(entry);
  }

  /** Resets the open channels of an entry. */
  reset(entry) {
    for (const { link, sockets } of this.#links) {
      if (link.entry === entry) sockets.forEach((socket) => socket.resetAndDestroy());
    }
  }

  heal(entry) {
    this.#cut.delete(entry);
    this.#resume.splice(0).forEach((resume) => resume());
  }

  #accept(socket) {
    this.#sockets.add(socket);
    socket.on("error", () => {});
    socket.once("data", (first) => {
      const [, , kind, name] = JSON.parse(first.toString("utf8").split("\n", 1)[0]);
      const link = { entry: kind === "hello" ? name : "" };
      const early = [first];
      const keep = (chunk) => early.push(chunk);
      socket.on("data", keep);
      // A channel that its opener gives up during the cut has never been opened.
      let isGivenUp = false;
      const giveUp = () => isGivenUp = true;
      socket.once("end", giveUp).once("close", giveUp);
      void this.#waitWhileCut(link).then(() => {
        socket.off("data", keep).off("end", giveUp).off("close", giveUp).pause();
        if (isGivenUp) return socket.destroy();
        const [host, port] = this.target.split(":");
        const target = connect(Number(port), host);
        this.#sockets.add(target);
        target.setNoDelay(true);
        target.on("error", () => socket.destroy());
        const open = { link, sockets: [socket, target] };
        this.#links.add(open);
        socket.once("close", () => this.#links.delete(open));
        early.forEach((chunk) => target.write(chunk));
        void this.#copy(socket, target, link);
        void this.#copy(target, socket, link);
      });
    });
  }

  async #waitWhileCut({ entry }) {
    while (this.#cut.has(entry)) {
      await new Promise((resolve) => this.#resume.push(resolve));
    }
  }

  async #copy(from, to, link) {
    from.setNoDelay(true);
    try {
      for await (const chunk of from) {
        await this.#waitWhileCut(link);
        to.write(chunk);
      }
      await this.#waitWhileCut(link);
      to.end();
    } catch {
      to.destroy();
    }
    this.#sockets.delete(from);
  }
}
