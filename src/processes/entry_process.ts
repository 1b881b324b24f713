import { err, ok, type Result } from "neverthrow";
import type { Submission } from "../coordination/entry/mod.ts";
import {
  parseJob,
  parseRequest,
  parseRequestContext,
  type RequestContext,
} from "../protocol/http/mod.ts";
import { createError, type DispatchError } from "../state/errors/mod.ts";
import {
  createErrorResponse,
  createJsonResponse,
  type HttpRequest,
  type HttpResponse,
  HttpServer,
} from "../transport/http/mod.ts";
import { createClientLimits } from "./create_client_limits.ts";
import { EntryIncarnation } from "./entry_incarnation.ts";
import { handleStatusRequest } from "./handle_status_request.ts";
import type { ProcessContext } from "./process_context.ts";
import { waitForView } from "./wait_for_view.ts";

const SUBMIT_ROUTES = ["POST /v1/jobs", "POST /v1/requests"];

/**
 * Interval at which the process checks whether its member was removed, in
 * milliseconds.
 */
const CHECK_INTERVAL_MS = 200;

/**
 * Time between reporting "not ready" and refusing the first request, in
 * milliseconds. It lets the load balancer take the entry out of rotation.
 */
const STOP_DELAY_MS = 1_000;

/**
 * Runs an entry. An entry that was removed while its process was paused is
 * announced as a new member.
 */
export class EntryProcess {
  readonly #context: ProcessContext;
  readonly #abort = new AbortController();
  readonly #httpServer: HttpServer;
  #httpAddress = "";
  #incarnation: EntryIncarnation | undefined;
  #finished: Promise<void> = Promise.resolve();

  constructor(context: ProcessContext) {
    this.#context = context;
    this.#httpServer = new HttpServer({
      host: context.settings.host,
      port: context.settings.httpPort,
      ...createClientLimits(context),
      handleRequest: (request) => this.#handle(request),
    });
  }

  /** Gets the `host:port` of the HTTP server; empty before the start. */
  get httpAddress(): string {
    return this.#httpAddress;
  }

  /**
   * Starts the HTTP server and the log follower. The entry joins the cluster
   * once the log has been read.
   */
  async start(): Promise<void> {
    const { settings, follower, logger } = this.#context;
    const port = await this.#httpServer.start();
    this.#httpAddress = `${settings.host}:${port}`;
    logger.info("entry started", {
      httpAddress: this.#httpAddress,
      zone: settings.zone,
    });
    void follower.run(this.#abort.signal);
    void this.#context.viewMonitor.run(this.#abort.signal);
    this.#finished = this.#run();
  }

  /** Stops gracefully, after all received submissions have been answered. */
  async stop(): Promise<void> {
    this.#context.logger.info("entry is stopping");
    this.#abort.abort();
    await this.#finished;
    await this.#httpServer.stop();
    this.#context.logger.info("entry stopped");
  }

  /**
   * Runs one incarnation after the other. An incarnation is one membership of
   * this process, with its own member id.
   */
  async #run(): Promise<void> {
    const { signal } = this.#abort;
    const { follower, logger } = this.#context;
    while (!signal.aborted) {
      await waitForView(this.#context, () => follower.canStartWork(), {
        signal,
      });
      if (signal.aborted) {
        return;
      }
      const incarnation = new EntryIncarnation({
        context: this.#context,
        httpAddress: this.#httpAddress,
      });
      this.#incarnation = incarnation;
      const started = incarnation.start();
      while (!signal.aborted && !incarnation.wasRemoved) {
        await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
      }
      if (incarnation.wasRemoved) {
        logger.warn(
          "entry was removed by other members; announcing it as a new member",
        );
        incarnation.close();
      } else {
        await new Promise((resolve) => setTimeout(resolve, STOP_DELAY_MS));
        // Draining begins before the links close: a submission that arrives on
        // closed links could not be answered with "not run".
        incarnation.coordinator.startDraining();
        this.#httpServer.stopListening();
        await incarnation.stop();
      }
      await started;
    }
  }

  async #handle(request: HttpRequest): Promise<HttpResponse> {
    const incarnation = this.#incarnation;
    const response = handleStatusRequest(request, {
      context: this.#context,
      memberId: incarnation?.memberId,
      timeline: incarnation?.timeline,
      isReady: !this.#abort.signal.aborted && (incarnation?.isReady ?? false),
      confirmedOffsets: incarnation?.getConfirmedOffsets() ?? {},
    });
    return response ?? await this.#handleClientRequest(request, incarnation);
  }

  async #handleClientRequest(
    request: HttpRequest,
    incarnation: EntryIncarnation | undefined,
  ): Promise<HttpResponse> {
    const [version, collection, key] = request.pathSegments;
    const route = `${request.method} /${version}/${collection}`;
    const isCancel = route === "DELETE /v1/jobs";
    if (!isCancel && !SUBMIT_ROUTES.includes(route)) {
      return createErrorResponse(createError("not_found", "no such resource"));
    }
    if (incarnation === undefined || !incarnation.isReady) {
      return createErrorResponse(
        createError("not_ready", "the entry isn't ready"),
      );
    }
    const options = isCancel ? { key: key ?? "" } : {};
    const context = parseRequestContext(request.headers, options);
    if (context.isErr()) {
      return this.#refuseRequest(context.error);
    }
    const { customer, idempotencyKey } = context.value;
    if (!isCancel) {
      return await this.#submit(request, {
        incarnation,
        context: context.value,
      });
    }
    return incarnation.coordinator.cancel(`${customer}/${idempotencyKey}`)
      ? createJsonResponse(202, { status: "cancelling" })
      : createErrorResponse(
        createError("not_found", "this entry runs no such submission"),
      );
  }

  async #submit(
    request: HttpRequest,
    options: { incarnation: EntryIncarnation; context: RequestContext },
  ): Promise<HttpResponse> {
    const { incarnation, context } = options;
    const receivedAt = performance.now();
    const submission = request.pathSegments[1] === "jobs"
      ? parseJob(request.body, context)
      : parseSingleRequest(request, context);
    if (submission.isErr()) {
      return this.#refuseRequest(submission.error, {
        key: context.idempotencyKey,
      });
    }
    const response = await incarnation.coordinator.submit(submission.value);
    this.#recordResponse(submission.value, response, receivedAt);
    return response;
  }

  /** Refuses a malformed request, before anything is claimed for it. */
  #refuseRequest(
    error: DispatchError,
    fields: { key?: string } = {},
  ): HttpResponse {
    const { metrics, rateLimitedLogger } = this.#context;
    metrics.incrementCounter("submissions", 1, {
      labels: { result: error.kind },
    });
    rateLimitedLogger.writeLine("warn", "request refused", {
      ...fields,
      ...error,
    });
    return createErrorResponse(error);
  }

  #recordResponse(
    submission: Submission,
    response: HttpResponse,
    receivedAt: number,
  ): void {
    const { metrics, rateLimitedLogger } = this.#context;
    const result = response.headers?.["x-error-kind"] ?? "complete";
    const timeMs = performance.now() - receivedAt;
    metrics.recordTime("submission", timeMs);
    metrics.incrementCounter("submissions", 1, { labels: { result } });
    const level = result === "complete" ? "info" : "warn";
    rateLimitedLogger.writeLine(
      level,
      `submission ${level === "info" ? "answered" : "failed"}`,
      {
        key: submission.key,
        service: submission.service,
        tasks: submission.tasks.length,
        result,
        timeMs: Math.round(timeMs),
      },
    );
  }
}

function parseSingleRequest(
  request: HttpRequest,
  context: RequestContext,
): Result<Submission, DispatchError> {
  const service = request.pathSegments[2];
  if (service === undefined) {
    return err(
      createError("invalid_request", "the path names no service", {
        path: "service",
      }),
    );
  }
  const job = request.headers["x-job"];
  return ok(parseRequest(request.body, context, {
    service,
    job: job === undefined ? undefined : String(job),
    repeatable: request.headers["x-repeatable"] === "true",
  }));
}
