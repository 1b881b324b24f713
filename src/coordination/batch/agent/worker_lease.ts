import { setTimeout as wait } from "node:timers/promises";
import type { EventLog, LeaseReport, WorkerControl } from "../../ports/mod.ts";
import type { Fence } from "./fence.ts";
import { getMaxLeaseDurationMs } from "./get_max_lease_duration_ms.ts";
import type { IncarnationEvidence } from "./incarnation_evidence.ts";
import type { WorkerClock } from "./worker_clock.ts";

/**
 * Time that a renewal waits at the worker for a run to end, as a share of the
 * lease. It is short enough to detect a lost renewal and send another one
 * before the lease expires.
 */
const RENEWAL_WAIT_SHARE = 0.3;

/**
 * Time for the answer in addition to the wait, in milliseconds. The worker is
 * on the same machine. A second renewal still arrives within the lease.
 */
const ANSWER_TIMEOUT_MS = 120;

/**
 * Interval of the requests for a report while a renewal has no answer, in
 * milliseconds. Workers answer a renewal as soon as a run ends, so one that
 * stays open may have lost its reply.
 */
const REPORT_INTERVAL_MS = 100;

/** Consecutive failed calls after which the worker counts as unresponsive. */
const MAX_FAILED_CALLS = 2;

/** Pause after a failed call, in milliseconds. */
const RETRY_PAUSE_MS = 50;

export interface WorkerLeaseOptions {
  workerId: string;
  control: WorkerControl;
  clock: WorkerClock;
  fence: Fence;
  /** Receives the log events of this process. */
  log: EventLog;
  /** Length of the lease, in milliseconds. */
  leaseMs: number;
  /** Returns whether the lease may last longer than it does now. */
  canExtend: () => boolean;
  /** Returns whether runs may end at the worker. */
  hasRuns: () => boolean;
  /** Called with each report, and the fence and send time of its request. */
  onReport: (
    report: LeaseReport,
    request: { fence: number; sentAt: number; isInitial: boolean },
  ) => void;
  /** Called when the lease of all runs must have expired. */
  onExpired: () => void;
  /** Called when no worker listens at the address, or another one answers. */
  onLost: (reason: string, evidence: IncarnationEvidence) => void;
  getTime: () => number;
}

/**
 * Renews the lease of the runs on one incarnation of a worker, which lasts from
 * one start of the worker to its end. The replies also tell which runs have
 * ended. The first call asks for a report without renewing, so that the lease
 * of runs of a former agent process is not extended.
 */
export class WorkerLease {
  /** Sequence number up to which the ends of runs have been handled. */
  confirmedUpTo = 0;
  readonly #options: WorkerLeaseOptions;
  #isStopped = false;
  #hasReport = false;
  /** Latest possible end of the lease, on the monotonic clock. */
  #expiresAt: number;
  #failedCallCount = 0;
  #brokenAt: number | undefined;
  #isRequestingReport = false;
  #isReportRequested = false;

  constructor(options: WorkerLeaseOptions) {
    this.#options = options;
    this.#expiresAt = options.getTime() + getMaxLeaseDurationMs();
  }

  /** Gets whether the worker has answered recently. */
  get isAnswering(): boolean {
    return this.#hasReport && this.#failedCallCount < MAX_FAILED_CALLS;
  }

  /**
   * Gets the time at which the connection of a call broke for the first time
   * since the last report, on the monotonic clock.
   */
  get brokenAt(): number | undefined {
    return this.#brokenAt;
  }

  /** Records that an order that extends the lease was sent. */
  recordRenewal(sentAt: number): void {
    this.#expiresAt = Math.max(
      this.#expiresAt,
      sentAt + getMaxLeaseDurationMs(),
    );
  }

  /** Gets the end of a new lease on the worker's clock. */
  getLeaseEnd(now: number): number | undefined {
    const workerNow = this.#options.clock.getWorkerTime(now);
    return workerNow === undefined
      ? undefined
      : Math.floor(workerNow + this.#options.leaseMs);
  }

  /** Renews the lease until `stop` is called. */
  async run(): Promise<void> {
    const waitMs = Math.floor(RENEWAL_WAIT_SHARE * this.#options.leaseMs);
    while (!this.#isStopped) {
      const reportTimer = setInterval(() => {
        if (this.isAnswering && this.#options.hasRuns()) {
          void this.requestReport();
        }
      }, REPORT_INTERVAL_MS);
      await this.#renew(waitMs);
      clearInterval(reportTimer);
    }
  }

  /**
   * Sends a renewal that doesn't wait for a run to end, in addition to the
   * regular ones, to get a report at once. Calls made while such a request is
   * open are served together by one more request after it.
   */
  async requestReport(): Promise<void> {
    this.#isReportRequested = true;
    if (this.#isRequestingReport) {
      return;
    }
    this.#isRequestingReport = true;
    while (this.#isReportRequested && !this.#isStopped) {
      this.#isReportRequested = false;
      await this.#renew(0);
    }
    this.#isRequestingReport = false;
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #renew(waitMs: number): Promise<void> {
    const { control, workerId, fence, getTime } = this.#options;
    const sentAt = getTime();
    const isInitial = !this.#hasReport;
    const request = { fence: fence.value, sentAt, isInitial };
    // A renewal without an answer may still have been carried out. An
    // unresponsive worker is asked for a report without a renewal, so that its
    // lease is sure to expire.
    const leaseUntilMs = this.isAnswering && this.#options.canExtend()
      ? this.getLeaseEnd(sentAt)
      : undefined;
    if (leaseUntilMs !== undefined) {
      this.recordRenewal(sentAt);
    }
    const maxWaitMs = isInitial ? 0 : waitMs;
    const reply = await control.renewLease({
      workerId,
      fence: request.fence,
      timeoutMs: maxWaitMs + ANSWER_TIMEOUT_MS,
      leaseUntilMs,
      confirmedUpTo: this.confirmedUpTo,
      waitMs: maxWaitMs,
    });
    if (this.#isStopped) {
      return;
    }
    if (reply.isErr()) {
      const { kind, message } = reply.error;
      await this.#handleFailure(kind, message, sentAt);
      return;
    }
    const answer = reply.value;
    switch (answer.kind) {
      case "report":
        this.#hasReport = true;
        this.#failedCallCount = 0;
        this.#brokenAt = undefined;
        this.#options.clock.record(answer.workerClockMs, getTime());
        this.#options.onReport(answer, request);
        return;
      case "reply":
        if (answer.refusal === "stale_fence") {
          fence.raiseAbove(request.fence);
          return;
        }
        if (answer.refusal === "other_worker") {
          this.#options.onLost("another worker answers at the address", {
            ...{ sentAt, isOtherWorker: true },
          });
          return;
        }
        await this.#handleFailure(
          "internal",
          `refused: ${answer.refusal}`,
          sentAt,
        );
        return;
      default:
        answer satisfies never;
    }
  }

  async #handleFailure(
    kind: string,
    reason: string,
    sentAt: number,
  ): Promise<void> {
    this.#failedCallCount++;
    const { log, workerId, getTime, onLost, onExpired } = this.#options;
    log.record("renewal_failed", {
      workerId,
      kind,
      reason,
      openMs: Math.round(getTime() - sentAt),
      failedCalls: this.#failedCallCount,
    });
    if (kind === "upstream_reset") {
      this.#brokenAt ??= getTime();
    }
    // The worker must ignore the lost renewal if it arrives later.
    this.#options.fence.raise();
    if (this.#failedCallCount === MAX_FAILED_CALLS) {
      log.record("worker_silent", { workerId, kind, reason });
    }
    if (kind === "upstream_unreachable") {
      onLost(reason, { sentAt });
      return;
    }
    if (getTime() > this.#expiresAt) {
      onExpired();
    }
    // A worker that crashes breaks the call; the next one is refused at once.
    if (kind !== "upstream_reset" || this.#failedCallCount > 1) {
      await wait(RETRY_PAUSE_MS);
    }
  }
}
