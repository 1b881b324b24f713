import { type AddressInfo, connect, createServer, type Server } from "node:net";

/**
 * A loopback relay that counts the bytes on its connections: what TCP carries,
 * without TCP/IP headers.
 */
export class CountingRelay {
  readonly #server: Server;
  /** Bytes from the connecting side to the target. */
  sentBytes = 0;
  /** Bytes from the target back. */
  receivedBytes = 0;

  /** @param target - `host:port` that is connected to. */
  constructor(target: string) {
    const [host = "", port = ""] = target.split(":");
    this.#server = createServer({ noDelay: true }, (socket) => {
      const other = connect({ host, port: Number(port), noDelay: true });
      socket.on("data", (chunk) => this.sentBytes += chunk.length);
      other.on("data", (chunk) => this.receivedBytes += chunk.length);
      socket.on("error", () => other.destroy());
      other.on("error", () => socket.destroy());
      socket.pipe(other);
      other.pipe(socket);
    });
  }

  /** Starts to listen, and gets the own address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Stops to listen; open connections go on. */
  stop(): void {
    this.#server.close();
  }
}
