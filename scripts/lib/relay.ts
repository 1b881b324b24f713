import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Towards the relay's target, or from it. */
export type RelayDirection = "forward" | "backward";

/** What a relay does with the bytes that pass through it. */
export type RelayMode =
  | { readonly type: "pass" }
  /** Closes all connections and accepts no new ones. */
  | { readonly type: "refuse" }
  /**
   * Keeps the connections open and passes nothing, or nothing in one direction:
   * what a lost network looks like.
   */
  | { readonly type: "hold"; readonly direction?: RelayDirection }
  | { readonly type: "delay"; readonly delayMs: number };

/** A TCP relay on the loopback interface, to cut, hold or delay one link. */
export class Relay {
  readonly #target: string;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #silenced = new WeakSet<Socket>();
  #mode: RelayMode = { type: "pass" };
  #release: (() => void)[] = [];

  /** @param target - `host:port` that the relay connects to. */
  constructor(target: string) {
    this.#target = target;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Starts to listen, and gets the relay's own address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /**
   * Changes what happens to the bytes; held bytes go on when the mode is `pass`
   * or `delay` again.
   */
  setMode(mode: RelayMode): void {
    this.#mode = mode;
    if (mode.type === "refuse") {
      for (const socket of this.#sockets) {
        socket.destroy();
      }
    }
    if (mode.type !== "hold") {
      const release = this.#release;
      this.#release = [];
      release.forEach((resume) => resume());
    }
  }

  /** Breaks the open connections; new ones work. */
  reset(): void {
    for (const socket of this.#sockets) {
      socket.resetAndDestroy();
    }
  }

  /** The open connections pass nothing any more; new ones work. */
  silence(): void {
    for (const socket of this.#sockets) {
      this.#silenced.add(socket);
    }
  }

  /** Stops the relay and breaks its connections. */
  stop(): void {
    this.#server.close();
    this.setMode({ type: "refuse" });
  }

  #accept(socket: Socket): void {
    if (this.#mode.type === "refuse") {
      socket.destroy();
      return;
    }
    const [host, port] = this.#target.split(":") as [string, string];
    const upstream = connect(Number(port), host);
    void this.#pump(socket, upstream, "forward");
    void this.#pump(upstream, socket, "backward");
  }

  /** Copies one direction of a connection. */
  async #pump(
    from: Socket,
    to: Socket,
    direction: RelayDirection,
  ): Promise<void> {
    this.#sockets.add(from);
    from.setNoDelay(true);
    from.on("error", () => to.destroy());
    try {
      for await (const chunk of from) {
        if (this.#mode.type === "delay") {
          const { delayMs } = this.#mode;
          await new Promise((resolve) => setTimeout(resolve, delayMs));
        }
        if (this.#isHeld(direction)) {
          await new Promise<void>((resolve) => this.#release.push(resolve));
        }
        if (!this.#silenced.has(from)) {
          to.write(chunk);
        }
      }
      to.end();
    } catch {
      to.destroy();
    }
    this.#sockets.delete(from);
  }

  #isHeld(direction: RelayDirection): boolean {
    return this.#mode.type === "hold" &&
      (this.#mode.direction ?? direction) === direction;
  }
}
