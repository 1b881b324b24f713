import type { Candidate } from "./candidate.ts";
import type { PlacementRequest } from "./placement_request.ts";
import type { RunTimes } from "./run_times.ts";

/**
 * Time for which an estimate is cached, in milliseconds, since it iterates over
 * all agents of the service.
 */
const MAX_ESTIMATE_AGE_MS = 5;

/**
 * Fraction of the slow run time for which a task is held back in any case. When
 * a queue forms, credits of faster agents first move here from other entries,
 * which takes a few round trips.
 */
const MIN_HOLD_FRACTION = 0.05;

interface Estimate {
  readonly estimatedAt: number;
  /** Mean run time at the slow agent, in milliseconds. */
  readonly slowMs: number;
  /** Tasks of this entry that the faster agents complete per millisecond. */
  readonly tasksPerMs: number;
  /** Mean run time of these tasks, in milliseconds. */
  readonly meanRunMs: number;
}

export interface SlowWorkerGuardOptions {
  runTimes: RunTimes;
  getWaitingCount: (service: string) => number;
  onHoldExpired: () => void;
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Prevents slow workers from taking the last tasks of a job. A free slot of a
 * slow worker is used only when the task ends there before the faster workers
 * would have completed the whole queue; otherwise the job would wait for that
 * one task. A task is held back no longer than it would run on the slow worker.
 */
export class SlowWorkerGuard<T extends Candidate> {
  readonly #options: SlowWorkerGuardOptions;
  readonly #getTime: () => number;
  readonly #estimates = new Map<string, Estimate>();
  /** Time since which tasks of a service have been waiting. */
  readonly #queuedSince = new Map<string, number>();
  /**
   * Time since which tasks of a service have been held back, without one that
   * started on a faster agent.
   */
  readonly #heldSince = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: SlowWorkerGuardOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /**
   * Returns whether a task can start on the best available agent, or should
   * wait for a faster one.
   * @param best - The available agent with the shortest run time.
   * @param request - The task.
   * @param options - The agents that may run the task, and what counts as slow.
   */
  canStart(
    best: T,
    request: PlacementRequest,
    options: { usable: Iterable<T>; slowFactor: number },
  ): boolean {
    const { runTimes, getWaitingCount } = this.#options;
    const { service, runTimeKey } = request;
    const slowMs = runTimes.getAgentMean(runTimeKey, best.member.id);
    const meanMs = runTimes.getMean(runTimeKey);
    const waiting = getWaitingCount(service);
    const now = this.#getTime();
    const queuedSince = this.#queuedSince.get(service) ?? now;
    this.#queuedSince.set(service, queuedSince);
    if (slowMs === undefined || meanMs === undefined || slowMs <= meanMs) {
      this.#endHold(service, waiting);
      return true;
    }
    const { tasksPerMs, meanRunMs } = this.#getEstimate(runTimeKey, {
      slowMs,
      ...options,
    });
    const isQueueLong = slowMs <= waiting / tasksPerMs + meanRunMs;
    const heldSince = this.#heldSince.get(service) ?? now;
    const holdEndAt = isQueueLong
      ? queuedSince + slowMs * MIN_HOLD_FRACTION
      : heldSince + slowMs;
    if (tasksPerMs === 0 || now >= holdEndAt) {
      this.#endHold(service, waiting);
      return true;
    }
    this.#heldSince.set(service, heldSince);
    // Without the timer, nothing might process the queue when the hold ends.
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#options.onHoldExpired();
    }, holdEndAt - now + 1);
    return false;
  }

  #endHold(service: string, waiting: number): void {
    this.#heldSince.delete(service);
    if (waiting <= 1) {
      this.#queuedSince.delete(service);
    }
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  #getEstimate(
    runTimeKey: string,
    options: { slowMs: number; usable: Iterable<T>; slowFactor: number },
  ): Estimate {
    const now = this.#getTime();
    const { slowMs, usable, slowFactor } = options;
    const cached = this.#estimates.get(runTimeKey);
    if (
      cached?.slowMs === slowMs &&
      now - cached.estimatedAt < MAX_ESTIMATE_AGE_MS
    ) {
      return cached;
    }
    let inFlight = 0;
    let tasksPerMs = 0;
    for (const candidate of usable) {
      const runMs = this.#options.runTimes.getAgentMean(
        runTimeKey,
        candidate.member.id,
      );
      if (runMs !== undefined && runMs * slowFactor < slowMs) {
        inFlight += candidate.inFlight;
        tasksPerMs += candidate.inFlight / Math.max(1, runMs);
      }
    }
    const meanRunMs = tasksPerMs === 0 ? 0 : inFlight / tasksPerMs;
    const estimate = { estimatedAt: now, slowMs, tasksPerMs, meanRunMs };
    this.#estimates.set(runTimeKey, estimate);
    return estimate;
  }
}
