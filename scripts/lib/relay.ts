import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Direction of the bytes: towards the relay's target, or from it. */
export type RelayDirection = "forward" | "backward";

/** What a relay does with the bytes that pass through it. */
export type RelayMode =
  | { readonly type: "pass" }
  /** Closes all connections and accepts no new ones. */
  | { readonly type: "refuse" }
  /**
   * Keeps the connections open and holds back the bytes of both directions, or
   * of one, as in a network partition.
   */
  | { readonly type: "hold"; readonly direction?: RelayDirection }
  | { readonly type: "delay"; readonly delayMs: number };

export interface RelayOptions {
  /**
   * Called with the first bytes of a connection. The relay connects to its target
   * when the returned promise is resolved.
   */
  waitToConnect?: (firstBytes: Buffer) => Promise<void>;
}

/** A TCP relay on the loopback interface that injects faults into one link. */
export class Relay {
  readonly #target: string;
  readonly #options: RelayOptions;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #silenced = new WeakSet<Socket>();
  #mode: RelayMode = { type: "pass" };
  #resumeCallbacks: (() => void)[] = [];

  /** @param target - Address that the relay connects to, as `host:port`. */
  constructor(target: string, options: RelayOptions = {}) {
    this.#target = target;
    this.#options = options;
    this.#server = createServer((socket) => void this.#accept(socket));
  }

  /** Starts to listen, and returns the relay's own address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /**
   * Sets the mode. Bytes that are held back are forwarded when the mode becomes
   * `pass` or `delay`.
   */
  setMode(mode: RelayMode): void {
    this.#mode = mode;
    if (mode.type === "refuse") {
      for (const socket of this.#sockets) {
        socket.destroy();
      }
    }
    if (mode.type !== "hold") {
      const callbacks = this.#resumeCallbacks;
      this.#resumeCallbacks = [];
      callbacks.forEach((resume) => resume());
    }
  }

  /** Resets the open connections; new connections work. */
  resetConnections(): void {
    for (const socket of this.#sockets) {
      socket.resetAndDestroy();
    }
  }

  /** Discards all further bytes of open connections; new connections work. */
  silenceConnections(): void {
    for (const socket of this.#sockets) {
      this.#silenced.add(socket);
    }
  }

  /** Stops the relay and closes its connections. */
  stop(): void {
    this.#server.close();
    this.setMode({ type: "refuse" });
  }

  async #accept(socket: Socket): Promise<void> {
    if (this.#mode.type === "refuse") {
      socket.destroy();
      return;
    }
    const { waitToConnect } = this.#options;
    if (waitToConnect !== undefined) {
      const isOpen = await this.#waitToConnect(socket, waitToConnect);
      if (!isOpen) {
        return;
      }
    }
    const [host, port] = this.#target.split(":") as [string, string];
    const targetSocket = connect(Number(port), host);
    void this.#copyDirection(socket, targetSocket, "forward");
    void this.#copyDirection(targetSocket, socket, "backward");
  }

  /** Returns whether the connection is still open when its target may be used. */
  async #waitToConnect(
    socket: Socket,
    waitToConnect: (firstBytes: Buffer) => Promise<void>,
  ): Promise<boolean> {
    this.#sockets.add(socket);
    socket.on("error", () => {});
    const chunks: Buffer[] = [];
    const receive = (chunk: Buffer) => chunks.push(chunk);
    // Read on meanwhile: a paused socket doesn't notice the end of its connection.
    socket.on("data", receive);
    const firstBytes = await new Promise<Buffer | undefined>((resolve) => {
      socket.once("data", resolve);
      socket.once("close", () => resolve(undefined));
    });
    if (firstBytes !== undefined) {
      await waitToConnect(firstBytes);
    }
    socket.off("data", receive);
    socket.pause();
    this.#sockets.delete(socket);
    if (!socket.destroyed) {
      socket.unshift(Buffer.concat(chunks));
    }
    return !socket.destroyed;
  }

  /** Copies the bytes of one direction of a connection. */
  async #copyDirection(
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
          await new Promise<void>((resolve) =>
            this.#resumeCallbacks.push(resolve)
          );
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
