/** A TCP proxy on the way from one machine to another, which can be cut silently. */
import { connect, createServer } from "node:net";

export class Link {
  #target;
  #server = createServer({ allowHalfOpen: true }, (socket) => this.#accept(socket));
  #pairs = new Set();
  #isCut = false;

  /** @param target - `host:port`. */
  constructor(target) {
    this.#target = target;
  }

  async start() {
    await new Promise((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** Holds all bytes back, in both directions, also on new connections. */
  cut() {
    this.#isCut = true;
    this.#pairs.forEach(({ near, far }) => {
      near.pause();
      far?.pause();
    });
  }

  /** Forwards what was held back, as the retransmission of a network does. */
  heal() {
    this.#isCut = false;
    this.#pairs.forEach((pair) => {
      if (pair.far === undefined) {
        this.#connect(pair);
      }
      pair.near.resume();
      pair.far.resume();
    });
  }

  /** Resets all connections. */
  reset() {
    this.#pairs.forEach(({ near, far }) => {
      near.resetAndDestroy();
      far?.resetAndDestroy();
    });
  }

  stop() {
    this.#server.close();
    this.#pairs.forEach(({ near, far }) => {
      near.destroy();
      far?.destroy();
    });
  }

  #accept(near) {
    const pair = { near, far: undefined };
    near.setNoDelay(true);
    near.pause();
    near.on("error", () => {});
    near.on("close", () => {
      this.#pairs.delete(pair);
      pair.far?.destroy();
    });
    this.#pairs.add(pair);
    if (!this.#isCut) {
      this.#connect(pair);
      near.resume();
    }
  }

  #connect(pair) {
    const { near } = pair;
    const [host, port] = this.#target.split(":");
    const far = connect({ host, port: Number(port), allowHalfOpen: true });
    pair.far = far;
    far.setNoDelay(true);
    far.on("error", () => near.destroy());
    far.on("close", () => near.destroy());
    far.on("data", (bytes) => near.write(bytes));
    far.on("end", () => near.end());
    near.on("data", (bytes) => far.write(bytes));
    near.on("end", () => far.end());
  }
}
