import type { TaskResult } from "../coordination/agent/mod.ts";
import { createError, parseJson } from "../state/errors/mod.ts";
import { StartRecords } from "../state/starts/mod.ts";
import {
  createErrorResponse,
  createJsonResponse,
  type HttpRequest,
  type HttpResponse,
  HttpServer,
} from "../transport/http/mod.ts";
import { AgentIncarnation } from "./agent_incarnation.ts";
import { createClientLimits } from "./create_client_limits.ts";
import { handleStatusRequest } from "./handle_status_request.ts";
import type { ProcessContext } from "./process_context.ts";
import { UpstreamAnnouncement } from "./upstream_announcement.ts";
import { waitForView } from "./wait_for_view.ts";

/**
 * Interval at which the process checks whether its member was removed or its
 * upstream has changed, in milliseconds.
 */
const CHECK_INTERVAL_MS = 200;

/**
 * Runs an agent over successive memberships: an agent that was removed while
 * its process was paused, or whose upstream left and came back, is announced as
 * a new member.
 */
export class AgentProcess {
  readonly #context: ProcessContext;
  readonly #abort = new AbortController();
  readonly #startRecords = new StartRecords<TaskResult>();
  readonly #httpServer: HttpServer;
  #httpAddress = "";
  #upstream: UpstreamAnnouncement | undefined;
  #incarnation: AgentIncarnation | undefined;
  #finished: Promise<void> = Promise.resolve();

  constructor(context: ProcessContext) {
    this.#context = context;
    this.#httpServer = new HttpServer({
      host: context.settings.host,
      port: context.settings.httpPort,
      ...createClientLimits(context),
      handleRequest: (request) => this.#handle(request),
    });
    context.metrics.setGauge("start_records", () => this.#startRecords.size);
  }

  /**
   * Starts the HTTP server and the log follower. The agent joins the cluster
   * once its upstream has announced itself.
   */
  async start(): Promise<void> {
    const { settings, follower, logger } = this.#context;
    const port = await this.#httpServer.start();
    this.#httpAddress = `${settings.host}:${port}`;
    logger.info("agent started", {
      httpAddress: this.#httpAddress,
      zone: settings.zone,
    });
    void follower.run(this.#abort.signal);
    void this.#context.viewMonitor.run(this.#abort.signal);
    this.#finished = this.#run();
  }

  /**
   * Stops gracefully, after the running tasks have ended and their results have
   * been delivered.
   */
  async stop(): Promise<void> {
    this.#context.logger.info("agent is stopping");
    this.#abort.abort();
    await this.#finished;
    await this.#httpServer.stop();
    this.#context.logger.info("agent stopped");
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
      while (!signal.aborted && this.#upstream === undefined) {
        await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
      }
      if (this.#upstream === undefined) {
        return;
      }
      const incarnation = this.#createIncarnation(this.#upstream);
      this.#incarnation = incarnation;
      const started = incarnation.start();
      const upstream = this.#upstream;
      while (
        !signal.aborted && !incarnation.wasRemoved &&
        this.#upstream === upstream
      ) {
        this.#startRecords.removeExpired();
        await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
      }
      if (incarnation.wasRemoved) {
        logger.warn(
          "agent was removed by other members; announcing it as a new member",
        );
        incarnation.close();
      } else {
        await incarnation.stop();
      }
      await started;
    }
  }

  #createIncarnation(upstream: UpstreamAnnouncement): AgentIncarnation {
    return new AgentIncarnation({
      context: this.#context,
      upstream,
      upstreamAddress: this.#context.settings.upstreamAddress ?? "",
      httpAddress: this.#httpAddress,
      startRecords: this.#startRecords,
      isReturning: this.#incarnation !== undefined,
    });
  }

  #handle(request: HttpRequest): HttpResponse {
    const incarnation = this.#incarnation;
    const response = handleStatusRequest(request, {
      context: this.#context,
      memberId: incarnation?.memberId,
      timeline: incarnation?.timeline,
      isReady: incarnation?.isReady ?? false,
      confirmedOffsets: incarnation?.getConfirmedOffsets() ?? {},
    });
    return response ?? this.#handleUpstream(request);
  }

  #handleUpstream(request: HttpRequest): HttpResponse {
    switch (`${request.method} /${request.pathSegments.join("/")}`) {
      case "PUT /v1/upstream":
        return this.#announceUpstream(request.body);
      case "DELETE /v1/upstream":
        this.#upstream = undefined;
        return createJsonResponse(200, { status: "leaving" });
      default:
        return createErrorResponse(
          createError("not_found", "no such resource"),
        );
    }
  }

  #announceUpstream(body: Buffer): HttpResponse {
    const parsed = parseJson(UpstreamAnnouncement, body, "invalid_request");
    if (parsed.isErr()) {
      return createErrorResponse(parsed.error);
    }
    if (JSON.stringify(this.#upstream) !== JSON.stringify(parsed.value)) {
      this.#upstream = parsed.value;
      this.#context.logger.info("upstream announced itself", parsed.value);
    }
    return createJsonResponse(200, { status: "announced" });
  }
}
