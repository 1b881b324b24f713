import type { Metrics } from "../state/metrics/mod.ts";
import type { TimelineEvent } from "../state/timeline/mod.ts";
import type { RateLimitedLogger } from "./rate_limited_logger.ts";

/**
 * Largest number of timers that run at one time. The timers of lost attempts
 * never stop and would otherwise accumulate.
 */
const MAX_TIMERS = 50_000;

export interface TimelineObserverOptions {
  metrics: Metrics;
  rateLimitedLogger: RateLimitedLogger;
}

/**
 * Derives metrics and warnings from the events of the timeline, so that the
 * code that records events needs no other calls.
 */
export class TimelineObserver {
  readonly #metrics: Metrics;
  readonly #rateLimitedLogger: RateLimitedLogger;
  readonly #startTimes = new Map<string, number>();

  constructor(options: TimelineObserverOptions) {
    this.#metrics = options.metrics;
    this.#rateLimitedLogger = options.rateLimitedLogger;
  }

  /** Updates metrics and writes warnings for an event. */
  observe(event: TimelineEvent): void {
    this.#observeSubmission(event);
    this.#observeAttempt(event);
  }

  #observeSubmission(event: TimelineEvent): void {
    switch (event.type) {
      case "submission_received":
        this.#startTimer(`claim/${event.key}`);
        return;
      case "claim_granted":
        this.#stopTimer("claim", `claim/${event.key}`);
        this.#startTimer(`queue/${event.key}`);
        return;
      case "claim_answered":
        this.#metrics.incrementCounter("claims", 1, {
          labels: { outcome: event.detail ?? "" },
        });
        return;
      case "submission_refused":
        this.#recordRefusal("submission", event);
        this.#discardTimers(event);
        return;
      case "claim_not_granted":
      case "submission_answered":
        this.#discardTimers(event);
        return;
    }
  }

  #observeAttempt(event: TimelineEvent): void {
    switch (event.type) {
      case "task_sent":
        this.#recordQueueTime(event);
        return;
      case "attempt_failed":
        this.#countByKind("attempts_failed", event);
        this.#warn("attempt failed", event);
        return;
      case "task_hedged":
        this.#metrics.incrementCounter("hedges");
        return;
      case "task_started":
        this.#metrics.incrementCounter("task_starts");
        this.#startTimer(getRunTimerName(event));
        return;
      case "task_ended":
        this.#stopTimer("run", getRunTimerName(event));
        return;
      case "task_failed":
        this.#stopTimer("run", getRunTimerName(event));
        this.#countByKind("tasks_failed", event);
        return;
      case "task_refused":
        this.#recordRefusal("task", event);
        this.#warn("task refused", event);
        return;
    }
  }

  /**
   * Records the queue time of a task's first attempt, which begins when the
   * claim of the whole submission is granted.
   */
  #recordQueueTime(event: TimelineEvent): void {
    const startedAt = this.#startTimes.get(`queue/${event.key}`);
    if (event.attempt === 1 && startedAt !== undefined) {
      this.#metrics.recordTime("queue", performance.now() - startedAt);
    }
  }

  #recordRefusal(of: string, event: TimelineEvent): void {
    this.#metrics.incrementCounter("refusals", 1, {
      labels: { of, kind: event.detail ?? "" },
    });
  }

  #countByKind(name: string, event: TimelineEvent): void {
    this.#metrics.incrementCounter(name, 1, {
      labels: { kind: event.detail ?? "" },
    });
  }

  #warn(message: string, event: TimelineEvent): void {
    const { key, index, attempt, detail } = event;
    const fields = { key, index, attempt, kind: detail };
    this.#rateLimitedLogger.writeLine("warn", message, fields);
  }

  #startTimer(name: string): void {
    this.#startTimes.set(name, performance.now());
    if (this.#startTimes.size > MAX_TIMERS) {
      this.#startTimes.delete(this.#startTimes.keys().next().value as string);
    }
  }

  #stopTimer(metric: string, name: string): void {
    const startedAt = this.#startTimes.get(name);
    if (startedAt !== undefined) {
      this.#startTimes.delete(name);
      this.#metrics.recordTime(metric, performance.now() - startedAt);
    }
  }

  #discardTimers(event: TimelineEvent): void {
    this.#startTimes.delete(`claim/${event.key}`);
    this.#startTimes.delete(`queue/${event.key}`);
  }
}

function getRunTimerName(event: TimelineEvent): string {
  return `run/${event.index}/${event.attempt}/${event.key}`;
}
