import { type AddressInfo, connect, createServer, type Server } from "node:net";

/**
 * A relay on the loopback interface that counts the bytes of its connections:
 * the TCP payload, without TCP/IP headers.
 */
export class CountingRelay {
  readonly #server: Server;
  /** Bytes from the connecting side to the target. */
  sentBytes = 0;
  /** Bytes from the target back. */
  receivedBytes = 0;

  /** @param target - Address that the relay connects to, as `host:port`. */
  constructor(target: string) {
    const [host = "", port = ""] = target.split(":");
    this.#server = createServer({ noDelay: true }, (socket) => {
      const targetSocket = connect({ host, port: Number(port), noDelay: true });
      socket.on("data", (chunk) => this.sentBytes += chunk.length);
      targetSocket.on("data", (chunk) => this.receivedBytes += chunk.length);
      socket.on("error", () => targetSocket.destroy());
      targetSocket.on("error", () => socket.destroy());
      socket.pipe(targetSocket);
      targetSocket.pipe(socket);
    });
  }

  /** Starts to listen, and returns the relay's own address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Stops listening; open connections stay open. */
  stop(): void {
    this.#server.close();
  }
}
