import type { Candidate } from "./candidate.ts";
import type { PlacementRequest } from "./placement_request.ts";
import type { RunTimes } from "./run_times.ts";

/**
 * Time for which an estimate is used again, in milliseconds: it looks at all
 * agents of the service.
 */
const ESTIMATE_AGE_MS = 5;

/**
 * Part of the slow run time for which a task is held back in any case. A new
 * queue first brings credits of faster agents from other entries, which takes a
 * few round trips.
 */
const MIN_HOLD_PART = 0.05;

interface Estimate {
  readonly madeAt: number;
  readonly slowMs: number;
  /** Tasks that the faster agents end for this entry in a millisecond. */
  readonly rate: number;
  /** Mean run time of these tasks. */
  readonly runMs: number;
}

export interface SlowWorkerGuardOptions {
  runTimes: RunTimes;
  getWaiting: (service: string) => number;
  onHoldExpired: () => void;
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Keeps slow workers from taking the tail of a job. A free slot of a slow
 * worker is used only when the task ends there before the faster workers would
 * have ended the whole queue; otherwise the job would wait for that one task. A
 * task is held back no longer than it would run on the slow worker.
 */
export class SlowWorkerGuard<T extends Candidate> {
  readonly #options: SlowWorkerGuardOptions;
  readonly #getTime: () => number;
  readonly #estimates = new Map<string, Estimate>();
  /** Since when tasks of a service wait. */
  readonly #queuedSince = new Map<string, number>();
  /**
   * Since when tasks of a service are held back, without one that started on a
   * faster agent.
   */
  readonly #heldSince = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: SlowWorkerGuardOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /**
   * Can a task start on the best agent that is ready, or should it wait for a
   * faster one?
   * @param best - The ready agent with the shortest run time.
   * @param request - The task.
   * @param options - The agents that may run the task, and what counts as slow.
   */
  canStart(
    best: T,
    request: PlacementRequest,
    options: { usable: Iterable<T>; slowFactor: number },
  ): boolean {
    const { runTimes, getWaiting } = this.#options;
    const { service, runTimeKey: runKey } = request;
    const slowMs = runTimes.getAgentMean(runKey, best.member.id);
    const mean = runTimes.getMean(runKey);
    const waiting = getWaiting(service);
    const now = this.#getTime();
    const queuedSince = this.#queuedSince.get(service) ?? now;
    this.#queuedSince.set(service, queuedSince);
    if (slowMs === undefined || mean === undefined || slowMs <= mean) {
      this.#release(service, waiting);
      return true;
    }
    const { rate, runMs } = this.#estimate(runKey, { slowMs, ...options });
    const isQueueLong = slowMs <= waiting / rate + runMs;
    const heldSince = this.#heldSince.get(service) ?? now;
    const end = isQueueLong
      ? queuedSince + slowMs * MIN_HOLD_PART
      : heldSince + slowMs;
    if (rate === 0 || now >= end) {
      this.#release(service, waiting);
      return true;
    }
    this.#heldSince.set(service, heldSince);
    // The timer serves a queue that nothing else makes look again.
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#options.onHoldExpired();
    }, end - now + 1);
    return false;
  }

  #release(service: string, waiting: number): void {
    this.#heldSince.delete(service);
    if (waiting <= 1) {
      this.#queuedSince.delete(service);
    }
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  #estimate(
    runKey: string,
    options: { slowMs: number; usable: Iterable<T>; slowFactor: number },
  ): Estimate {
    const now = this.#getTime();
    const { slowMs, usable, slowFactor } = options;
    const known = this.#estimates.get(runKey);
    if (
      known?.slowMs === slowMs && now - known.madeAt < ESTIMATE_AGE_MS
    ) {
      return known;
    }
    let inFlight = 0;
    let rate = 0;
    for (const candidate of usable) {
      const runMs = this.#options.runTimes.getAgentMean(
        runKey,
        candidate.member.id,
      );
      if (runMs !== undefined && runMs * slowFactor < slowMs) {
        inFlight += candidate.inFlight;
        rate += candidate.inFlight / Math.max(1, runMs);
      }
    }
    const runMs = rate === 0 ? 0 : inFlight / rate;
    const estimate = { madeAt: now, slowMs, rate, runMs };
    this.#estimates.set(runKey, estimate);
    return estimate;
  }
}
