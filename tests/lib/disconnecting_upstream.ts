import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import type { TaskStart } from "../../src/stand_in/mod.ts";

/** The point of an exchange at which the connection is closed. */
export interface DisconnectPoint {
  /**
   * `request` counts the bytes read by the upstream, `response` the bytes
   * written by it.
   */
  side: "request" | "response";
  bytes: number;
  /**
   * `reset` sends RST; `end` sends FIN, as the kernel does for a killed
   * process.
   */
  closeMode: "reset" | "end";
}

/** How the end of the response body is marked. */
export type Framing = "length" | "chunked" | "close";

/**
 * An upstream on a plain TCP socket that echoes the body, and that can close
 * the connection at any byte of an exchange.
 */
export class DisconnectingUpstream {
  readonly starts: TaskStart[] = [];
  /** Where the following exchanges are disconnected; undefined for nowhere. */
  disconnectAt: DisconnectPoint | undefined;
  framing: Framing = "length";
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #idleSockets = new Set<Socket>();

  constructor() {
    this.#server = createServer((socket) => void this.#serve(socket));
  }

  /** Starts to listen, and returns the port. */
  async start(port = 0): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(port, "127.0.0.1", resolve)
    );
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops the server and closes its connections. */
  stop(): void {
    this.#server.close();
    this.closeConnections();
  }

  /** Closes all connections, including idle ones that clients keep alive. */
  closeConnections(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }

  /**
   * Closes the connections without an exchange in progress, as a server with a
   * short keep-alive timeout does.
   */
  closeIdleConnections(): void {
    this.#idleSockets.forEach((socket) => socket.destroy());
  }

  /** Creates the bytes of the response to a request with the given body. */
  createResponse(body: string): Buffer {
    switch (this.framing) {
      case "length":
        return Buffer.from(
          `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
        );
      case "chunked": {
        const size = body.length.toString(16);
        return Buffer.from(
          `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${size}\r\n${body}\r\n0\r\n\r\n`,
        );
      }
      case "close":
        return Buffer.from(
          `HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${body}`,
        );
    }
  }

  async #serve(socket: Socket): Promise<void> {
    this.#sockets.add(socket);
    let read = "";
    try {
      if (this.#isDisconnectDue("request", 0)) {
        this.#close(socket);
      }
      for await (const chunk of socket) {
        this.#idleSockets.delete(socket);
        read += String(chunk);
        if (this.#isDisconnectDue("request", read.length)) {
          this.#recordStart(read);
          this.#close(socket);
          return;
        }
        const body = getCompleteBody(read);
        if (body !== undefined) {
          this.#recordStart(read);
          read = "";
          this.#respond(socket, body);
        }
      }
    } catch {
      // The agent closed the connection.
    }
    this.#sockets.delete(socket);
    this.#idleSockets.delete(socket);
  }

  #respond(socket: Socket, body: string): void {
    const response = this.createResponse(body);
    const { disconnectAt } = this;
    if (disconnectAt?.side === "response") {
      // Gives the agent time to read these bytes, since a reset discards
      // bytes that were not read yet.
      socket.write(response.subarray(0, disconnectAt.bytes));
      setTimeout(() => this.#close(socket), 2);
      return;
    }
    socket.write(response);
    this.#idleSockets.add(socket);
    if (this.framing === "close") {
      socket.end();
    }
  }

  #isDisconnectDue(side: DisconnectPoint["side"], bytes: number): boolean {
    return this.disconnectAt?.side === side && bytes >= this.disconnectAt.bytes;
  }

  #close(socket: Socket): void {
    this.disconnectAt?.closeMode === "reset"
      ? socket.resetAndDestroy()
      : socket.end();
  }

  /**
   * Records a start once the request's headers have arrived, since an upstream
   * may begin before it has received the whole body.
   */
  #recordStart(read: string): void {
    if (read.includes("\r\n\r\n")) {
      this.starts.push({
        key: decodeURIComponent(getHeader(read, "x-task-key")),
        index: Number(getHeader(read, "x-task-index")),
        attempt: Number(getHeader(read, "x-task-attempt")),
        timeMs: Date.now(),
      });
    }
  }
}

function getHeader(request: string, name: string): string {
  return new RegExp(`^${name}: (.*)\r$`, "im").exec(request)?.[1] ?? "";
}

function getCompleteBody(request: string): string | undefined {
  const end = request.indexOf("\r\n\r\n");
  const length = Number(getHeader(request, "content-length"));
  const body = request.slice(end + 4);
  return end >= 0 && body.length >= length ? body : undefined;
}
