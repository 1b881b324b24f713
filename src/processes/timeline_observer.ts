import type { Metrics } from "../state/metrics/mod.ts";
import type { TimelineEvent } from "../state/timeline/mod.ts";
import type { RateLimitedLogger } from "./rate_limited_logger.ts";

/**
 * Beginnings that are kept until their end; those of lost attempts would
 * otherwise pile up.
 */
const MAX_OPEN = 50_000;

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
  readonly #limiter: RateLimitedLogger;
  readonly #openSince = new Map<string, number>();

  constructor(options: TimelineObserverOptions) {
    this.#metrics = options.metrics;
    this.#limiter = options.rateLimitedLogger;
  }

  /** Takes an event into account. */
  observe(event: TimelineEvent): void {
    this.#recordSubmission(event);
    this.#recordAttempt(event);
  }

  #recordSubmission(event: TimelineEvent): void {
    switch (event.type) {
      case "submission_received":
        this.#start(`claim/${event.key}`);
        return;
      case "claim_granted":
        this.#recordTime("claim", `claim/${event.key}`);
        this.#start(`queue/${event.key}`);
        return;
      case "claim_answered":
        this.#metrics.incrementCounter("claims", 1, {
          labels: { outcome: event.detail ?? "" },
        });
        return;
      case "submission_refused":
        this.#recordRefusal("submission", event);
        this.#end(event);
        return;
      case "claim_not_granted":
      case "submission_answered":
        this.#end(event);
        return;
    }
  }

  #recordAttempt(event: TimelineEvent): void {
    switch (event.type) {
      case "task_sent":
        this.#recordQueueTime(event);
        return;
      case "attempt_failed":
        this.#add("attempts_failed", event);
        this.#warn("attempt failed", event);
        return;
      case "task_hedged":
        this.#metrics.incrementCounter("hedges");
        return;
      case "task_started":
        this.#metrics.incrementCounter("task_starts");
        this.#start(getTaskName(event));
        return;
      case "task_ended":
        this.#recordTime("run", getTaskName(event));
        return;
      case "task_failed":
        this.#recordTime("run", getTaskName(event));
        this.#add("tasks_failed", event);
        return;
      case "task_refused":
        this.#recordRefusal("task", event);
        this.#warn("task refused", event);
        return;
    }
  }

  /**
   * The queue time of a task's first attempt begins when the whole submission
   * was granted.
   */
  #recordQueueTime(event: TimelineEvent): void {
    const since = this.#openSince.get(`queue/${event.key}`);
    if (event.attempt === 1 && since !== undefined) {
      this.#metrics.recordTime("queue", performance.now() - since);
    }
  }

  #recordRefusal(of: string, event: TimelineEvent): void {
    this.#metrics.incrementCounter("refusals", 1, {
      labels: { of, kind: event.detail ?? "" },
    });
  }

  #add(name: string, event: TimelineEvent): void {
    this.#metrics.incrementCounter(name, 1, {
      labels: { kind: event.detail ?? "" },
    });
  }

  #warn(message: string, event: TimelineEvent): void {
    const { key, index, attempt, detail } = event;
    const fields = { key, index, attempt, kind: detail };
    this.#limiter.write("warn", message, fields);
  }

  #start(name: string): void {
    this.#openSince.set(name, performance.now());
    if (this.#openSince.size > MAX_OPEN) {
      this.#openSince.delete(this.#openSince.keys().next().value as string);
    }
  }

  #recordTime(metric: string, name: string): void {
    const since = this.#openSince.get(name);
    if (since !== undefined) {
      this.#openSince.delete(name);
      this.#metrics.recordTime(metric, performance.now() - since);
    }
  }

  #end(event: TimelineEvent): void {
    this.#openSince.delete(`claim/${event.key}`);
    this.#openSince.delete(`queue/${event.key}`);
  }
}

function getTaskName(event: TimelineEvent): string {
  return `run/${event.index}/${event.attempt}/${event.key}`;
}
