import type { IncomingMessage, ServerResponse } from "node:http";
import { createError } from "../../state/errors/mod.ts";
import { BodyReader } from "./body_reader.ts";
import { countHeaderBytes } from "./count_header_bytes.ts";
import { createErrorResponse } from "./create_error_response.ts";
import { createRefusal } from "./create_refusal.ts";
import { estimateHeaderMemory } from "./estimate_header_memory.ts";
import type { ExchangeContext } from "./exchange_context.ts";
import type { HttpResponse } from "./http_response.ts";
import { ReceivedRequest } from "./received_request.ts";
import type { RefusalCause } from "./refusal_cause.ts";
import type { ServerConnection } from "./server_connection.ts";

/** Largest body of a response that is sent in one buffer with the headers, in bytes. */
const MAX_JOINED_BYTES = 2_048;

export interface HttpExchangeOptions {
  context: ExchangeContext;
  connection: ServerConnection;
  message: IncomingMessage;
  response: ServerResponse;
  /** Whether the client sends the body only when it is asked to. */
  waitsForContinue: boolean;
}

/** A request on a connection and its response. */
export class HttpExchange {
  readonly #context: ExchangeContext;
  readonly #connection: ServerConnection;
  readonly #message: IncomingMessage;
  readonly #response: ServerResponse;
  readonly #request: ReceivedRequest;
  readonly #waitsForContinue: boolean;
  readonly #headerBytes: number;
  /** Memory of the request's headers that the budget knows, in bytes. */
  #headerMemory = 0;
  /** Whether the connection closes after this response; earlier ones are sent before. */
  #isLast = false;

  constructor(options: HttpExchangeOptions) {
    this.#context = options.context;
    this.#connection = options.connection;
    this.#message = options.message;
    this.#response = options.response;
    this.#waitsForContinue = options.waitsForContinue;
    this.#request = new ReceivedRequest(options.message);
    this.#headerBytes = countHeaderBytes(options.message);
  }

  /** Checks the head, reads the body, and has the request handled. */
  run(): void {
    const context = this.#context;
    this.#connection.pendingCount++;
    const limits = context.getLimits();
    const maxBodyBytes = Math.min(
      limits?.maxBodyBytes ?? context.limits.maxBodyBytes,
      context.budget.maxHolderBytes,
    );
    const cause = this.#checkLimits(maxBodyBytes, limits?.maxHeaderBytes);
    if (cause !== undefined) {
      this.#refuse(cause);
      return;
    }
    this.#headerMemory = estimateHeaderMemory(this.#headerBytes);
    this.#connection.addHeaderMemory(this.#headerMemory);
    const refusal = context.checkHead(this.#request);
    if (refusal !== undefined) {
      this.#sendRefusal(refusal);
    } else if (this.#hasBody()) {
      this.#readBody(maxBodyBytes);
    } else {
      void this.#handle();
    }
  }

  /** Finds a limit that the request exceeds, as far as its head tells. */
  #checkLimits(
    maxBodyBytes: number,
    maxHeaderBytes = this.#context.limits.maxHeaderBytes,
  ): RefusalCause | undefined {
    const { limits, budget } = this.#context;
    if (this.#connection.pendingCount > limits.maxRequestsAhead) {
      return "requests_ahead";
    }
    if (Number(this.#request.headers["content-length"] ?? 0) > maxBodyBytes) {
      return "body_size";
    }
    if (budget.isExceeded) {
      return "memory";
    }
    return this.#headerBytes > maxHeaderBytes ? "header_size" : undefined;
  }

  #hasBody(): boolean {
    const { headers } = this.#request;
    return headers["transfer-encoding"] !== undefined ||
      (headers["content-length"] ?? "0") !== "0";
  }

  #readBody(maxBytes: number): void {
    if (this.#waitsForContinue) {
      this.#response.writeContinue();
    }
    const connection = this.#connection;
    connection.body = new BodyReader({
      request: this.#message,
      budget: this.#context.budget,
      pool: this.#context.pool,
      maxBytes,
      onChunk: () => connection.chunkCount++,
      onComplete: (body) => {
        connection.endBody();
        this.#request.body = body;
        void this.#handle();
      },
      onRefuse: (cause) => {
        connection.endBody();
        this.#refuse(cause);
      },
    });
  }

  #refuse(cause: RefusalCause): void {
    this.#context.reportRefusal(cause, this.#connection);
    if (cause === "body_size" || cause === "header_size") {
      this.#sendRefusal(createRefusal(cause));
    } else {
      this.#endRequest();
      this.#connection.closeAfterAnswers();
    }
  }

  #endRequest(): void {
    this.#connection.releaseHeaderMemory(this.#headerMemory);
    this.#connection.endRequest();
  }

  /** Sends a refusal of a request whose body isn't read, or not completely. */
  #sendRefusal(refusal: HttpResponse): void {
    const connection = this.#connection;
    if (
      !connection.isClosing && this.#hasBody() && !this.#message.complete
    ) {
      if (!this.#context.discarder.tryDiscard(this.#message)) {
        this.#isLast = true;
        connection.isClosing = true;
      }
      connection.isDiscarding = true;
      if (connection.body === undefined) {
        this.#message.on("data", () => connection.chunkCount++);
      }
      this.#message.once("end", () => {
        connection.isDiscarding = false;
        connection.markRequestRead();
      });
    }
    this.#send(refusal);
  }

  async #handle(): Promise<void> {
    const request = this.#request;
    this.#connection.startHandling(request);
    let response: HttpResponse;
    try {
      response = request.hasValidPath()
        ? await this.#context.handleRequest(request)
        : createErrorResponse(createError(
          "invalid_request",
          "the path is not validly encoded",
          { path: "path" },
        ));
    } catch (error) {
      response = createErrorResponse(
        createError("internal", (error as Error).message),
      );
    }
    this.#connection.endHandling(request);
    this.#send(response);
  }

  #send({ status, contentType, body, headers }: HttpResponse): void {
    const connection = this.#connection;
    connection.addUnsentBytes(body.length);
    this.#response.once("finish", () => {
      connection.releaseUnsentBytes(body.length);
      this.#endRequest();
    });
    this.#response.writeHead(status, {
      "content-type": contentType,
      "content-length": body.length,
      ...headers,
      // A stopping server closes keep-alive connections after their next
      // response.
      ...(this.#isLast || this.#context.isStopping()
        ? { connection: "close" }
        : {}),
    });
    if (body.length <= MAX_JOINED_BYTES) {
      // Latin-1 keeps all bytes. Text is sent in one buffer with the headers, which takes
      // less time than a write of several buffers.
      const { buffer, byteOffset, length } = body;
      const text = Buffer.from(buffer, byteOffset, length).toString("latin1");
      this.#response.end(text, "latin1");
    } else {
      this.#response.end(body);
    }
  }
}
