import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import type { TaskStart } from "../../src/stand_in/mod.ts";

/** Where an exchange is cut off. */
export interface DisconnectPoint {
  /**
   * `request` counts the bytes that were read, `response` those that were
   * written.
   */
  side: "request" | "response";
  bytes: number;
  /**
   * `reset` sends RST; `end` sends FIN, as the kernel does for a process that
   * was killed.
   */
  closeMode: "reset" | "end";
}

/** How the answer marks its end. */
export type Framing = "length" | "chunked" | "close";

/**
 * An upstream on a plain TCP socket that repeats the body and cuts exchanges
 * off at any byte.
 */
export class DisconnectingUpstream {
  readonly starts: TaskStart[] = [];
  /** Applies to the following exchanges. */
  disconnectAt: DisconnectPoint | undefined;
  framing: Framing = "length";
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #idle = new Set<Socket>();

  constructor() {
    this.#server = createServer((socket) => void this.#serve(socket));
  }

  /** Starts to listen, and gets the port. */
  async start(port = 0): Promise<number> {
    await new Promise<void>((resolve) =>
      this.#server.listen(port, "127.0.0.1", resolve)
    );
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops the server and breaks its connections. */
  stop(): void {
    this.#server.close();
    this.closeConnections();
  }

  /** Breaks the open connections, also idle ones that callers keep. */
  closeConnections(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }

  /**
   * Closes the connections on which no exchange is open, as a server with a
   * short keep-alive time does.
   */
  closeIdleConnections(): void {
    this.#idle.forEach((socket) => socket.destroy());
  }

  /** Gets the bytes of the answer to a body. */
  createAnswer(body: string): Buffer {
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
      if (this.#isCutIn("request", 0)) {
        this.#close(socket);
      }
      for await (const chunk of socket) {
        this.#idle.delete(socket);
        read += String(chunk);
        if (this.#isCutIn("request", read.length)) {
          this.#recordStart(read);
          this.#close(socket);
          return;
        }
        const body = getWholeBody(read);
        if (body !== undefined) {
          this.#recordStart(read);
          read = "";
          this.#answer(socket, body);
        }
      }
    } catch {
      // The agent closed the connection.
    }
    this.#sockets.delete(socket);
    this.#idle.delete(socket);
  }

  #answer(socket: Socket, body: string): void {
    const answer = this.createAnswer(body);
    const { disconnectAt: disconnectAt } = this;
    if (disconnectAt?.side === "response") {
      // The bytes before the cut must reach the agent before a reset discards
      // what is not read yet.
      socket.write(answer.subarray(0, disconnectAt.bytes));
      setTimeout(() => this.#close(socket), 2);
      return;
    }
    socket.write(answer);
    this.#idle.add(socket);
    if (this.framing === "close") {
      socket.end();
    }
  }

  #isCutIn(side: DisconnectPoint["side"], bytes: number): boolean {
    return this.disconnectAt?.side === side && bytes >= this.disconnectAt.bytes;
  }

  #close(socket: Socket): void {
    this.disconnectAt?.closeMode === "reset"
      ? socket.resetAndDestroy()
      : socket.end();
  }

  /**
   * A request counts as started once its headers are here: a back end may begin
   * before the body's end.
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

function getWholeBody(request: string): string | undefined {
  const end = request.indexOf("\r\n\r\n");
  const length = Number(getHeader(request, "content-length"));
  const body = request.slice(end + 4);
  return end >= 0 && body.length >= length ? body : undefined;
}
