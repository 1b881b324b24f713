/**
 * Weight of a new run time after the first ones, which are averaged. The tasks
 * of a service differ by a factor of ten; with this weight the mean still
 * scatters by less than the factor between equal and slow workers.
 */
const WEIGHT = 0.05;

/**
 * A run time counts as at most this many times, or this part of, the learned
 * one: one outlier moves it little.
 */
const OUTLIER_FACTOR = 4;

/**
 * Run times older than this are not used: they must not keep a worker or a job
 * out for good. A slow worker so gets a task a minute. With 20 s, four such
 * tasks in 5 s showed in the p99 of 40 jobs a second.
 */
const MAX_AGE_MS = 60_000;

/**
 * Run times after which the spread is known well enough to call a task a
 * straggler.
 */
const MIN_SAMPLES = 20;

interface Learned {
  mean: number;
  /** Mean absolute deviation. */
  deviation: number;
  samples: number;
  updatedAt: number;
}

export interface RunTimesOptions {
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Learned run times by service or job, and by agent. Declared times are not
 * used.
 */
export class RunTimes {
  readonly #getTime: () => number;
  readonly #byKey = new Map<string, Learned>();
  readonly #byAgent = new Map<string, Map<string, Learned>>();

  constructor(options: RunTimesOptions = {}) {
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** Records the run time of an answered task. */
  record(key: string, agentId: string, runMs: number): void {
    const byKey = this.#byAgent.get(agentId) ?? new Map<string, Learned>();
    this.#byAgent.set(agentId, byKey);
    this.#record(byKey, key, runMs);
    this.#record(this.#byKey, key, runMs);
  }

  /**
   * Gets the mean run time at one agent; undefined when nothing recent is
   * known.
   */
  getAgentMean(key: string, agentId: string): number | undefined {
    return this.#getFresh(this.#byAgent.get(agentId)?.get(key))?.mean;
  }

  /**
   * Gets the mean run time at all agents; undefined when nothing recent is
   * known.
   */
  getMean(key: string): number | undefined {
    return this.#getFresh(this.#byKey.get(key))?.mean;
  }

  /**
   * Gets the mean run time at the fastest agent; undefined while too little is
   * known.
   */
  getShortestMean(key: string): number | undefined {
    const learned = this.#getFresh(this.#byKey.get(key));
    if (learned === undefined || learned.samples < MIN_SAMPLES) {
      return undefined;
    }
    let shortest = learned.mean;
    for (const agentId of this.#byAgent.keys()) {
      shortest = Math.min(
        shortest,
        this.getAgentMean(key, agentId) ?? Infinity,
      );
    }
    return shortest;
  }

  /**
   * Gets the run time beyond which a task is a straggler; undefined while too
   * little is known.
   */
  getStragglerThresholdMs(key: string): number | undefined {
    const learned = this.#getFresh(this.#byKey.get(key));
    // Mean and four deviations, as for TCP's retransmission: few ordinary tasks
    // take longer.
    return learned === undefined || learned.samples < MIN_SAMPLES
      ? undefined
      : learned.mean + 4 * learned.deviation;
  }

  /** Forgets an agent that was removed. */
  removeAgent(agentId: string): void {
    this.#byAgent.delete(agentId);
  }

  #record(table: Map<string, Learned>, key: string, runMs: number): void {
    const now = this.#getTime();
    const learned = this.#getFresh(table.get(key));
    if (learned === undefined) {
      const first = { mean: runMs, deviation: runMs / 2, samples: 1 };
      table.set(key, { ...first, updatedAt: now });
      return;
    }
    learned.samples++;
    const highest = Math.max(1, learned.mean) * OUTLIER_FACTOR;
    const lowest = learned.mean / OUTLIER_FACTOR;
    const value = Math.min(highest, Math.max(lowest, runMs));
    const weight = Math.max(WEIGHT, 1 / learned.samples);
    const difference = value - learned.mean;
    learned.mean += weight * difference;
    learned.deviation += weight * (Math.abs(difference) - learned.deviation);
    learned.updatedAt = now;
  }

  #getFresh(learned: Learned | undefined): Learned | undefined {
    return learned !== undefined &&
        this.#getTime() - learned.updatedAt <= MAX_AGE_MS
      ? learned
      : undefined;
  }
}
