import {
  type BatchJob,
  getPriorityLabel,
  getRetryAfterMs,
  type IntakeCause,
  IntakeQueue,
  type QueuedRequest,
  type Route,
  RouteTimes,
} from "../../../state/batch/mod.ts";
import type { Metrics } from "../../../state/metrics/mod.ts";
import type { EventLog } from "../../ports/mod.ts";
import type { BatchAnswer } from "./batch_answer.ts";
import { recordIntakeRefusal } from "./record_intake_refusal.ts";
import type { SubmissionHead } from "./submission_head.ts";
import type { WaitingSubmission } from "./waiting_submission.ts";

/**
 * Time for which requests are handled in one turn of the event loop, in milliseconds,
 * when other events have not taken longer; at least one is. Ends of runs and answers
 * come between. Below the delay at which an entry refuses jobs; with 10 ms an entry
 * that is stopped most of the time served fewer in time than in order of arrival.
 */
const MIN_TURN_MS = 100;

/** Priorities whose waiting requests have gauges of their own. */
const LABELLED_PRIORITIES = [0, 1, 2];

/** The submissions of one job, which are handled together. */
interface QueuedJob extends QueuedRequest {
  submissions: WaitingSubmission[];
}

export interface JobIntakeOptions {
  log: EventLog;
  metrics: Metrics;
  /** Whether requests may wait; if not, each is handled when it was read. */
  isEnabled: boolean;
  /** Returns whether this process gets to its work late. */
  isBehind: () => boolean;
  getTime?: () => number;
  /** Has a function called after the events that are pending now. */
  scheduleTurn?: (callback: () => void) => void;
  /** Has a function called when the last request has been placed. */
  scheduleNext?: (callback: () => void) => void;
}

/**
 * The requests that this entry has read and not parsed yet. A request is handled in
 * the turn of the event loop in which it was read while the entry keeps up. When
 * several come in one turn, they wait until all of them are read, and are handled
 * in the order of `IntakeQueue`, for a limited time in each turn.
 */
export class JobIntake {
  readonly #options: JobIntakeOptions;
  readonly #getTime: () => number;
  readonly #queue = new IntakeQueue<QueuedJob>();
  readonly #routeTimes = new RouteTimes();
  /** Requests that were handled since the last turn, and when the first was. */
  #handled: Pick<QueuedRequest, "priority" | "caller">[] = [];
  #handledSince = 0;
  /** When the last turn ended that handled requests, and how long it took. */
  #turnEndedAt = 0;
  #turnMs = 0;
  /** Whether a turn is to come, or not over. */
  #isTurnScheduled = false;
  #isStopped = false;

  constructor(options: JobIntakeOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
    const { metrics } = options;
    metrics.setGauge("intake_queued", () => this.#queue.size);
    for (const priority of LABELLED_PRIORITIES) {
      metrics.setGauge(
        `intake_queued_priority_${priority}`,
        () => this.#queue.count(priority),
      );
    }
    metrics.setGauge(
      "intake_job_seconds",
      () => this.#queue.costMs / 1_000,
    );
  }

  /** Gets the number of jobs that wait. */
  get size(): number {
    return this.#queue.size;
  }

  /**
   * Gets for how long requests that had waited were handled in the last turn of the
   * event loop, in milliseconds. This part of the loop's delay is ordered.
   */
  get turnMs(): number {
    return this.#turnMs;
  }

  /** Returns whether a job waits. */
  has(jobId: string): boolean {
    return this.#queue.find(jobId) !== undefined;
  }

  /** Records the run time of a job that was parsed, for later ones of its route. */
  recordJob(job: BatchJob, route: Route): void {
    this.#routeTimes.recordJob(job, route);
  }

  /**
   * Returns whether a request is to be handled now, since the entry keeps up. It
   * counts as the one that is handled in this turn.
   */
  tryHandleNow(route: Route, caller: string): boolean {
    const { isEnabled, isBehind } = this.#options;
    if (!isEnabled) {
      return true;
    }
    if (this.#isTurnScheduled || isBehind()) {
      return false;
    }
    this.#handledSince = this.#getTime();
    this.#turnEndedAt = this.#handledSince;
    this.#handled.push({ priority: route.priority, caller });
    this.#scheduleTurn();
    return true;
  }

  /** Adds a submission that waits for its turn, or refuses it. */
  add(submission: WaitingSubmission): void {
    const { signal, reject } = submission;
    if (signal.aborted) {
      reject({ kind: "error", error: "cancelled" });
      return;
    }
    const queued = this.#queue.find(submission.jobId);
    if (queued === undefined) {
      if (!this.#addJob(submission)) {
        return;
      }
    } else {
      queued.submissions.push(submission);
    }
    signal.addEventListener(
      "abort",
      () => this.#removeSubmission(submission),
      { once: true },
    );
  }

  /** Stops handling requests. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Cancels a job that waits. Returns whether there was one. */
  cancel(jobId: string): boolean {
    const job = this.#queue.find(jobId);
    if (job === undefined) {
      return false;
    }
    this.#queue.remove(job);
    for (const { reject } of job.submissions) {
      reject({ kind: "error", error: "cancelled" });
    }
    return true;
  }

  /**
   * Refuses a submission whose answer would be of no use when its turn comes.
   * Undefined if it may be of use, or its job waits already.
   */
  refuseUseless(head: SubmissionHead): BatchAnswer | undefined {
    if (this.#queue.size === 0 || this.has(head.jobId)) {
      return undefined;
    }
    const { route, caller, timeLeftMs } = head;
    const { priority } = route;
    const waitMs = this.#queue.estimateWaitMs({ priority, caller });
    const { usefulMs } = this.#routeTimes.getStartLimits(route, timeLeftMs);
    return waitMs > usefulMs
      ? this.#refuse(head, "expected_wait", { waitMs, queuedMs: 0 })
      : undefined;
  }

  /** Adds a job unless its answer would be of no use when its turn comes. */
  #addJob(submission: WaitingSubmission): boolean {
    const refusal = this.refuseUseless(submission);
    if (refusal !== undefined) {
      submission.reject(refusal);
      return false;
    }
    const { jobId, route, caller, arrival, timeLeftMs } = submission;
    const { slackMs, usefulMs } = this.#routeTimes.getStartLimits(
      route,
      timeLeftMs,
    );
    this.#queue.add({
      ...{ jobId, caller, priority: route.priority },
      latestStartAt: arrival.readAt + slackMs,
      usefulUntil: arrival.readAt + usefulMs,
      submissions: [submission],
    });
    this.#scheduleTurn();
    return true;
  }

  #removeSubmission(submission: WaitingSubmission): void {
    const job = this.#queue.find(submission.jobId);
    if (job === undefined || !job.submissions.includes(submission)) {
      return;
    }
    job.submissions = job.submissions.filter((other) => other !== submission);
    if (job.submissions.length === 0) {
      this.#queue.remove(job);
    }
    submission.reject({ kind: "error", error: "cancelled" });
  }

  #scheduleTurn(): void {
    if (!this.#isTurnScheduled) {
      this.#isTurnScheduled = true;
      (this.#options.scheduleTurn ?? setImmediate)(() => this.#runTurn());
    }
  }

  /**
   * Handles waiting requests for as long as other events have taken since the last
   * turn, so that neither can take all of the time from the other.
   */
  #runTurn(): void {
    if (this.#isStopped) {
      return;
    }
    const startedAt = this.#getTime();
    let turnMs = MIN_TURN_MS;
    if (this.#handled.length > 0) {
      this.#queue.recordCost(this.#handled, startedAt - this.#handledSince);
      this.#handled = [];
      turnMs = Math.max(turnMs, startedAt - this.#turnEndedAt);
    }
    this.#refuseExpired(startedAt);
    this.#handledSince = startedAt;
    this.#handleNext(startedAt + turnMs);
  }

  /** Handles the next request, and further ones until the given time. */
  #handleNext(endsAt: number): void {
    const now = this.#getTime();
    const job = this.#handled.length === 0 || now < endsAt
      ? this.#queue.takeNext(now)
      : undefined;
    if (job !== undefined) {
      this.#handled.push(job);
      this.#handleJob(job, now);
      (this.#options.scheduleNext ?? callAfterPromises)(() =>
        this.#handleNext(endsAt)
      );
      return;
    }
    this.#isTurnScheduled = false;
    this.#turnEndedAt = now;
    this.#turnMs = now - this.#handledSince;
    // The next turn measures what these requests have taken, answers included.
    if (this.#handled.length > 0) {
      this.#scheduleTurn();
    }
  }

  #refuseExpired(now: number): void {
    for (const job of this.#queue.takeExpired(now)) {
      const waitMs = this.#queue.estimateWaitMs(job);
      for (const submission of job.submissions) {
        const queuedMs = now - submission.arrival.readAt;
        submission.reject(
          this.#refuse(submission, "waited", { waitMs, queuedMs }),
        );
      }
    }
  }

  #handleJob(job: QueuedJob, now: number): void {
    const [first] = job.submissions;
    const waitedMs = now - (first?.arrival.readAt ?? now);
    this.#options.metrics.recordTime("intake_wait", waitedMs, {
      labels: { priority: getPriorityLabel(job.priority) },
    });
    for (const { arrival, handle } of job.submissions) {
      handle(now - arrival.readAt);
    }
  }

  #refuse(
    { jobId, route, caller }: SubmissionHead,
    cause: IntakeCause,
    { waitMs, queuedMs }: { waitMs: number; queuedMs: number },
  ): BatchAnswer {
    const retryAfterMs = getRetryAfterMs(waitMs);
    recordIntakeRefusal(this.#options, {
      ...{ job: jobId, route, cause, retryAfterMs },
      caller: caller === "" ? undefined : caller,
      queuedMs: Math.round(queuedMs),
      queued: this.#queue.size,
      waitMs: Math.round(waitMs),
    });
    return { kind: "error", error: "overloaded", retryAfterMs };
  }
}

/**
 * Calls a function when all promises that are resolved by then have called theirs: a
 * job is placed there.
 */
function callAfterPromises(callback: () => void): void {
  queueMicrotask(() => process.nextTick(callback));
}
