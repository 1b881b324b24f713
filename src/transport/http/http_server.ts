import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { BlockPool } from "../block_pool.ts";
import { createBufferedSocket } from "../create_buffered_socket.ts";
import { BodyDiscarder } from "./body_discarder.ts";
import type { ChangeableHttpLimits } from "./changeable_http_limits.ts";
import { ConnectionTable } from "./connection_table.ts";
import { DEFAULT_HTTP_LIMITS } from "./default_http_limits.ts";
import type { ExchangeContext } from "./exchange_context.ts";
import { HttpExchange } from "./http_exchange.ts";
import type { HttpLimits } from "./http_limits.ts";
import type { HttpRequest } from "./http_request.ts";
import type { HttpRequestHead } from "./http_request_head.ts";
import type { HttpResponse } from "./http_response.ts";
import type { RefusalCause } from "./refusal_cause.ts";
import { MemoryBudget } from "../memory_budget.ts";
import { ParseQueue } from "./parse_queue.ts";
import { ServerConnection } from "./server_connection.ts";
import { UnparsedBytes } from "./unparsed_bytes.ts";

/** Interval at which connections are checked for limits on time, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/** Largest headers that a configuration can allow, in bytes. */
const MAX_CONFIGURED_HEADER_BYTES = 1_048_576;

/** Part of incomplete headers that doesn't count for their limit, in bytes. */
const HEADER_SLACK_BYTES = 1_024;

/** Size of the buffer into which all connections read, in bytes. */
const READ_BUFFER_BYTES = 65_536;

const BAD_REQUEST = "HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n";
const HEADERS_TOO_LARGE =
  "HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\n\r\n";

const OVERDUE_CAUSES = {
  header: "header_time",
  body: "body_time",
  unread: "unread_response",
} as const;

type ConnectionHandler = (this: http.Server, socket: Socket) => void;

export interface HttpServerOptions {
  host: string;
  /** Port to listen on; 0 selects a free port. */
  port: number;
  handleRequest: (request: HttpRequest) => Promise<HttpResponse> | HttpResponse;
  /**
   * Called before the body of a request is read. A response that it returns refuses the
   * request.
   */
  checkHead?: (head: HttpRequestHead) => HttpResponse | undefined;
  limits?: Partial<HttpLimits>;
  /** Gets limits that take precedence and may change, such as those of a configuration. */
  getLimits?: () => ChangeableHttpLimits | undefined;
  /** Called for each request that a limit refuses and each connection that it closes. */
  onRefusal?: (cause: RefusalCause, remoteAddress: string) => void;
}

/**
 * An HTTP server that buffers complete request and response bodies, within limits on what
 * its clients make the process hold.
 */
export class HttpServer {
  readonly #options: HttpServerOptions;
  readonly #limits: HttpLimits;
  readonly #server: http.Server;
  readonly #budget: MemoryBudget;
  readonly #table = new ConnectionTable<ServerConnection>();
  readonly #connections = new WeakMap<Socket, ServerConnection>();
  readonly #context: ExchangeContext;
  readonly #pool = new BlockPool();
  readonly #parseQueue = new ParseQueue();
  /** Shared by all connections: what is read into it is parsed or copied at once. */
  readonly #readBuffer = Buffer.allocUnsafeSlow(READ_BUFFER_BYTES);
  #checkTimer: NodeJS.Timeout | undefined;
  #isKeepAliveDisabled = false;

  constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#limits = { ...DEFAULT_HTTP_LIMITS, ...options.limits };
    this.#budget = new MemoryBudget(this.#limits.memoryBytes);
    this.#context = this.#createContext();
    this.#server = http.createServer({
      // The parser's limit can't change while a connection is open.
      maxHeaderSize: options.getLimits === undefined
        ? this.#limits.maxHeaderBytes
        : MAX_CONFIGURED_HEADER_BYTES,
      // The connection table applies the limits on time, so that a pause of the process
      // doesn't use them up.
      headersTimeout: 0,
      requestTimeout: 0,
    });
    // This must exceed the idle timeout of a load balancer that keeps
    // connections: a connection that the server closes first can lose requests.
    this.#server.keepAliveTimeout = 75_000;
    this.#limitConnections();
    this.#server.on("request", (message, response) => {
      this.#receiveRequest(message, response, false);
    });
    this.#server.on("checkContinue", (message, response) => {
      this.#receiveRequest(message, response, true);
    });
    this.#server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      this.#handleClientError(error, socket as Socket);
    });
  }

  /** Gets the memory that clients make the process hold, in bytes. */
  get heldBytes(): number {
    return this.#budget.heldBytes;
  }

  /** Gets the number of connections whose received bytes wait until they are parsed. */
  get waitingCount(): number {
    return this.#parseQueue.waitingCount;
  }

  get connectionCount(): number {
    return this.#table.size;
  }

  /** Starts listening, and returns the port. */
  async start(): Promise<number> {
    const { host, port } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    this.#checkTimer = setInterval(
      () => this.#checkConnections(),
      CHECK_INTERVAL_MS,
    ).unref();
    return (this.#server.address() as AddressInfo).port;
  }

  /** Closes each connection after its next response, but keeps listening. */
  disableKeepAlive(): void {
    this.#isKeepAliveDisabled = true;
  }

  /** Stops listening; open requests are still served. */
  stopListening(): void {
    this.#server.close(() => clearInterval(this.#checkTimer));
    this.#server.closeIdleConnections();
  }

  /** Stops listening, and waits until the open requests are answered. */
  async stop(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
    clearInterval(this.#checkTimer);
  }

  #createContext(): ExchangeContext {
    const { handleRequest, checkHead, getLimits } = this.#options;
    return {
      limits: this.#limits,
      budget: this.#budget,
      pool: this.#pool,
      discarder: new BodyDiscarder(),
      handleRequest,
      checkHead: (head) => checkHead?.(head),
      getLimits: () => getLimits?.(),
      reportRefusal: (cause, { socket }) => this.#reportRefusal(cause, socket),
      isStopping: () => this.#isKeepAliveDisabled || !this.#server.listening,
    };
  }

  /**
   * Puts itself between new connections and the HTTP server, which then parses only what it
   * is given.
   */
  #limitConnections(): void {
    const [serve] = this.#server.listeners("connection") as [ConnectionHandler];
    this.#server.removeAllListeners("connection");
    this.#server.on("connection", (accepted) => {
      if (this.#makeRoom(accepted)) {
        this.#accept(accepted, serve);
      }
    });
  }

  /** Closes a connection if there are too many; returns whether a new one can be served. */
  #makeRoom(accepted: Socket): boolean {
    if (this.#table.size < this.#limits.maxConnections) {
      return true;
    }
    const closable = this.#table.selectClosable();
    this.#closeConnection(closable?.socket ?? accepted, "connections");
    return closable !== undefined;
  }

  #accept(accepted: Socket, serve: ConnectionHandler): void {
    const socket = createBufferedSocket(accepted, {
      buffer: this.#readBuffer,
      allowHalfOpen: true,
      onRead: (bytes) => unparsed.receive(bytes),
    });
    const connection = new ServerConnection({
      socket,
      budget: this.#budget,
      onUnread: () => this.#closeConnection(socket, "unread_response"),
      onIncompleteEvicted: () => this.#reportRefusal("memory", socket),
    });
    this.#connections.set(socket, connection);
    this.#table.add(connection);
    socket.once("close", () => this.#removeConnection(connection));
    serve.call(this.#server, socket);
    const [parse] = socket.listeners("data") as [(bytes: Buffer) => void];
    // The parser reads from the socket itself until there is another listener.
    socket.on("data", () => {});
    const unparsed = new UnparsedBytes({
      socket,
      connection,
      queue: this.#parseQueue,
      pool: this.#pool,
      parse: (bytes) => parse.call(socket, bytes),
      onParsed: () => this.#checkIncompleteHeaders(connection),
    });
  }

  #checkIncompleteHeaders(connection: ServerConnection): void {
    connection.countIncompleteHeaders();
    const { incompleteHeaderBytes: bytes, socket } = connection;
    if (bytes === 0) {
      return;
    }
    const maxBytes = this.#options.getLimits?.()?.maxHeaderBytes ??
      this.#limits.maxHeaderBytes;
    // Complete headers are checked without the request line and the spaces.
    if (bytes > maxBytes + HEADER_SLACK_BYTES) {
      this.#handleClientError({ code: "HPE_HEADER_OVERFLOW" }, socket);
    }
  }

  #removeConnection(connection: ServerConnection): void {
    this.#table.remove(connection);
    connection.close();
  }

  /** Closes a connection that a limit doesn't allow. */
  #closeConnection(socket: Socket, cause: RefusalCause): void {
    this.#reportRefusal(cause, socket);
    const connection = this.#connections.get(socket);
    if (connection !== undefined) {
      this.#removeConnection(connection);
    }
    socket.destroy();
  }

  #reportRefusal(cause: RefusalCause, socket: Socket): void {
    this.#options.onRefusal?.(cause, socket.remoteAddress ?? "");
  }

  #checkConnections(): void {
    const limits = { ...this.#limits, ...this.#options.getLimits?.() };
    const overdue = this.#table.findOverdue({
      header: countChecks(limits.headerTimeoutMs),
      bodyIdle: countChecks(limits.bodyIdleTimeoutMs),
      body: countChecks(limits.bodyTimeoutMs),
      unread: countChecks(limits.unreadTimeoutMs),
    });
    for (const { connection, activity } of overdue) {
      this.#closeConnection(connection.socket, OVERDUE_CAUSES[activity]);
    }
    this.#pool.releaseUnused();
    for (const connection of this.#table.findUnread()) {
      connection.allowEviction();
    }
  }

  #handleClientError(
    error: { code?: string | undefined },
    socket: Socket,
  ): void {
    const isTooLarge = error.code === "HPE_HEADER_OVERFLOW";
    if (isTooLarge) {
      this.#reportRefusal("header_size", socket);
    }
    // An answer here may not come between those to earlier requests.
    const connection = this.#connections.get(socket);
    if (socket.writable && connection?.pendingCount === 0) {
      socket.write(isTooLarge ? HEADERS_TOO_LARGE : BAD_REQUEST);
    }
    socket.destroy();
  }

  #receiveRequest(
    message: http.IncomingMessage,
    response: http.ServerResponse,
    waitsForContinue: boolean,
  ): void {
    const connection = this.#connections.get(message.socket);
    if (connection === undefined || message.socket.destroyed) {
      return;
    }
    connection.requestCount++;
    connection.markRequestRead();
    if (connection.isClosing) {
      // A client that sends on is not waited for.
      if (++connection.droppedCount > this.#limits.maxRequestsAhead) {
        message.socket.destroy();
      }
      return;
    }
    new HttpExchange({
      context: this.#context,
      connection,
      message,
      response,
      waitsForContinue,
    }).run();
  }
}

/** Gets the number of checks in which a time has passed. */
function countChecks(timeMs: number): number {
  return Math.max(1, Math.ceil(timeMs / CHECK_INTERVAL_MS));
}
