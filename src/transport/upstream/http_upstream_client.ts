import { err, ok, type Result } from "neverthrow";
import * as http from "node:http";
import type {
  UpstreamAnswer,
  UpstreamClient,
  UpstreamRequest,
} from "../../coordination/ports/mod.ts";
import { createError, type DispatchError } from "../../state/errors/mod.ts";

/** Largest accepted answer to one task, in bytes. */
const MAX_ANSWER_BYTES = 16_777_216;

export interface HttpUpstreamClientOptions {
  /** `host:port` of the upstream. */
  address: string;
  /** Largest number of reusable connections that are open at one time. */
  maxConnections: number;
}

/** Sends tasks to the upstream over HTTP/1.1. */
export class HttpUpstreamClient implements UpstreamClient {
  readonly #agent: http.Agent;
  readonly #host: string;
  readonly #port: number;

  constructor(options: HttpUpstreamClientOptions) {
    const url = new URL(`http://${options.address}`);
    this.#host = url.hostname;
    this.#port = Number(url.port);
    this.#agent = new http.Agent({
      keepAlive: true,
      maxSockets: options.maxConnections,
    });
  }

  call(
    request: UpstreamRequest,
  ): Promise<Result<UpstreamAnswer, DispatchError>> {
    return new Promise((resolve) => this.#send(request, resolve));
  }

  #send(
    request: UpstreamRequest,
    resolve: (result: Result<UpstreamAnswer, DispatchError>) => void,
  ): void {
    let hasStarted = false;
    const outgoing = this.#createRequest(request);
    const finish = (result: Result<UpstreamAnswer, DispatchError>) => {
      clearTimeout(timer);
      request.signal.removeEventListener("abort", onAbort);
      resolve(result);
    };
    const fail = (error: DispatchError) => {
      finish(err(error));
      outgoing.destroy();
    };
    const timer = setTimeout(
      () => fail(createStopError(hasStarted, "timeout", "expired")),
      request.timeoutMs,
    );
    const onAbort = () =>
      fail(createStopError(hasStarted, "cancelled_running", "cancelled"));
    request.signal.addEventListener("abort", onAbort, { once: true });
    outgoing.on("socket", (socket) => {
      const startRequest = () => {
        const refusal = request.checkStart();
        if (refusal !== undefined) {
          fail(refusal);
          return;
        }
        // Nothing has been written yet: the headers are sent with the body.
        hasStarted = true;
        outgoing.end(request.body);
      };
      socket.connecting ? socket.once("connect", startRequest) : startRequest();
    });
    outgoing.on(
      "error",
      (error) => finish(err(createCallError(hasStarted, error))),
    );
    outgoing.on("response", (response) => {
      readAnswer(response).then(finish);
    });
  }

  #createRequest(request: UpstreamRequest): http.ClientRequest {
    return http.request({
      host: this.#host,
      port: this.#port,
      method: "POST",
      path: `/${encodeURIComponent(request.service)}`,
      // The upstream may already have closed a keep-alive connection; after a
      // write to it, it is unknown whether the request ran. If a new connection
      // can't be opened, the outcome is certainly "not run".
      agent: request.repeatable ? this.#agent : false,
      headers: {
        "content-type": "application/octet-stream",
        "content-length": request.body.length,
        "x-task-key": encodeURIComponent(request.key),
        "x-task-index": String(request.index),
        "x-task-attempt": String(request.attempt),
      },
    });
  }
}

async function readAnswer(
  response: http.IncomingMessage,
): Promise<Result<UpstreamAnswer, DispatchError>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of response) {
      chunks.push(chunk);
      size += chunk.length;
      if (size > MAX_ANSWER_BYTES) {
        response.destroy();
        return err(
          createError(
            "corrupt_answer",
            `the answer exceeds ${MAX_ANSWER_BYTES} bytes`,
          ),
        );
      }
    }
  } catch (error) {
    return err(createCallError(true, error as Error));
  }
  if (!response.complete) {
    return err(createError("upstream_reset", "the answer ended early"));
  }
  if (!hasExplicitEnd(response)) {
    return err(
      createError("corrupt_answer", "the answer doesn't state its length"),
    );
  }
  return ok({ status: response.statusCode ?? 0, body: Buffer.concat(chunks) });
}

/**
 * Returns whether the answer states where it ends. An answer that ends with its
 * connection can't be distinguished from a truncated one: the kernel closes the
 * connection of a killed upstream in the same way.
 */
function hasExplicitEnd(response: http.IncomingMessage): boolean {
  const { headers, statusCode } = response;
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined ||
    statusCode === 204 || statusCode === 304;
}

function createCallError(hasStarted: boolean, error: Error): DispatchError {
  return hasStarted
    ? createError("upstream_reset", error.message)
    : createError("upstream_unreachable", error.message);
}

function createStopError(
  hasStarted: boolean,
  kind: "timeout" | "cancelled_running",
  kindBeforeStart: "expired" | "cancelled",
): DispatchError {
  return hasStarted
    ? createError(kind, "stopped after the start")
    : createError(kindBeforeStart, "stopped before the start");
}
