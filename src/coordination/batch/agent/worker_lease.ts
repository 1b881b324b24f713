import { setTimeout as wait } from "node:timers/promises";
import type { EventLog, LeaseReport, WorkerControl } from "../../ports/mod.ts";
import { BATCH_LIMITS } from "../batch_limits.ts";
import type { Fence } from "./fence.ts";
import type { WorkerClock } from "./worker_clock.ts";

/**
 * Part of the lease that a renewal waits for an end: a lost renewal is noticed,
 * and the next one arrives, before the lease expires.
 */
const RENEW_WAIT_SHARE = 0.3;

/**
 * Time for the answer beyond the wait, in milliseconds. The worker is on the
 * same machine; a second renewal still arrives within the lease.
 */
const ANSWER_MS = 120;

/** Renewals in a row without an answer after which the worker is silent. */
const SILENT_FAILURES = 2;

/** Pause after a renewal that failed at once, in milliseconds. */
const RETRY_MS = 50;

export interface WorkerLeaseOptions {
  workerId: string;
  control: WorkerControl;
  clock: WorkerClock;
  fence: Fence;
  log: EventLog;
  /** Length of the lease, in milliseconds. */
  leaseMs: number;
  /** Handles a report, with the fence and the time of its request. */
  onReport: (
    report: LeaseReport,
    request: { fence: number; sentAt: number; isLook: boolean },
  ) => void;
  /** Called when the lease of all runs has certainly expired. */
  onExpired: () => void;
  /** Called when no worker listens, or another one answers. */
  onLost: (reason: string) => void;
  getTime: () => number;
}

/**
 * Keeps the lease of the runs at one life of a worker, and learns from the same
 * calls which runs have ended. Its first call only looks, so that runs of a
 * former agent process get no longer lease.
 */
export class WorkerLease {
  /** Ends up to this sequence number are handled. */
  confirmedUpTo = 0;
  readonly #options: WorkerLeaseOptions;
  #isStopped = false;
  #hasLooked = false;
  /** No lease can last longer, on the monotonic clock. */
  #expiresAt: number;
  #failures = 0;
  #isRefreshing = false;
  #isRefreshWanted = false;

  constructor(options: WorkerLeaseOptions) {
    this.#options = options;
    this.#expiresAt = options.getTime() + getLeaseBoundMs();
  }

  /** Has the worker answered one of the latest calls? */
  get isAnswering(): boolean {
    return this.#hasLooked && this.#failures < SILENT_FAILURES;
  }

  /** Records that an order with a new end of the lease was sent. */
  recordRenewal(sentAt: number): void {
    this.#expiresAt = Math.max(this.#expiresAt, sentAt + getLeaseBoundMs());
  }

  /** Gets the end of a new lease on the worker's clock. */
  getLeaseEnd(now: number): number | undefined {
    const workerNow = this.#options.clock.get(now);
    return workerNow === undefined
      ? undefined
      : Math.floor(workerNow + this.#options.leaseMs);
  }

  /** Renews the lease until `stop` is called. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      await this.#renew(Math.floor(RENEW_WAIT_SHARE * this.#options.leaseMs));
    }
  }

  /**
   * Asks at once what runs, beside the renewals. Calls while one is open are
   * served by one more call after it.
   */
  async refresh(): Promise<void> {
    this.#isRefreshWanted = true;
    if (this.#isRefreshing) {
      return;
    }
    this.#isRefreshing = true;
    while (this.#isRefreshWanted && !this.#isStopped) {
      this.#isRefreshWanted = false;
      await this.#renew(0);
    }
    this.#isRefreshing = false;
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #renew(waitMs: number): Promise<void> {
    const { control, workerId, fence, getTime } = this.#options;
    const sentAt = getTime();
    const isLook = !this.#hasLooked;
    const request = { fence: fence.value, sentAt, isLook };
    // A renewal without an answer may still have been carried out. A silent
    // worker is only asked, so that its lease certainly expires.
    const leaseUntilMs = this.isAnswering
      ? this.getLeaseEnd(sentAt)
      : undefined;
    if (leaseUntilMs !== undefined) {
      this.recordRenewal(sentAt);
    }
    const wait = isLook ? 0 : waitMs;
    const reply = await control.renewLease({
      workerId,
      fence: request.fence,
      timeoutMs: wait + ANSWER_MS,
      leaseUntilMs,
      confirmedUpTo: this.confirmedUpTo,
      waitMs: wait,
    });
    if (this.#isStopped) {
      return;
    }
    if (reply.isErr()) {
      await this.#handleFailure(reply.error.kind, reply.error.message);
      return;
    }
    const answer = reply.value;
    switch (answer.kind) {
      case "report":
        this.#hasLooked = true;
        this.#failures = 0;
        this.#options.clock.record(answer.workerClockMs, getTime());
        this.#options.onReport(answer, request);
        return;
      case "reply":
        if (answer.refusal === "stale_fence") {
          fence.raiseAbove(request.fence);
          return;
        }
        if (answer.refusal === "other_worker") {
          this.#options.onLost("another worker answers at the address");
          return;
        }
        await this.#handleFailure("internal", `refused: ${answer.refusal}`);
        return;
      default:
        answer satisfies never;
    }
  }

  async #handleFailure(kind: string, reason: string): Promise<void> {
    this.#failures++;
    const { log, workerId, getTime, onLost: onGone, onExpired } = this.#options;
    // The lost renewal may still arrive; it must not renew anything then.
    this.#options.fence.raise();
    if (this.#failures === SILENT_FAILURES) {
      log.record("worker_silent", { workerId, kind, reason });
    }
    if (kind === "upstream_unreachable") {
      onGone(reason);
      return;
    }
    if (getTime() > this.#expiresAt) {
      onExpired();
    }
    await wait(RETRY_MS);
  }
}

/** Gets the longest time that a lease lasts after its order was sent. */
function getLeaseBoundMs(): number {
  const {
    leaseMs,
    maxClockDriftFactor: slowClockFactor,
    maxStopDelayMs: stopMs,
  } = BATCH_LIMITS;
  return leaseMs * slowClockFactor + stopMs;
}
