/**
 * Minimum weight of a new run time in the moving average; the first run times
 * are weighted equally until their weight falls to this value. The run times of
 * a service's tasks differ by a factor of ten; with this weight the mean varies
 * by less than the factor between equal and slow workers.
 */
const MIN_WEIGHT = 0.05;

/**
 * A run time counts as at most the learned mean times this factor, and as at
 * least the mean divided by it, so that one outlier changes the mean little.
 */
const OUTLIER_FACTOR = 4;

/**
 * Run times older than this, in milliseconds, are not used: they must not
 * exclude a worker or a job forever. A slow worker therefore gets one task a
 * minute. With 20 s, four such tasks within 5 s were visible in the p99 at 40
 * jobs a second.
 */
const MAX_AGE_MS = 60_000;

/**
 * Number of run times after which the deviation is known well enough to
 * classify a task as a straggler.
 */
const MIN_SAMPLES = 20;

interface RunTimeStats {
  mean: number;
  /** Mean absolute deviation, in milliseconds. */
  deviation: number;
  samples: number;
  updatedAt: number;
}

export interface RunTimesOptions {
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Learned run times by service or job, and by agent. Run times that callers
 * declare are not used.
 */
export class RunTimes {
  readonly #getTime: () => number;
  readonly #statsByKey = new Map<string, RunTimeStats>();
  readonly #statsByAgent = new Map<string, Map<string, RunTimeStats>>();

  constructor(options: RunTimesOptions = {}) {
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** Records the run time of an answered task. */
  record(key: string, agentId: string, runMs: number): void {
    const agentStats = this.#statsByAgent.get(agentId) ??
      new Map<string, RunTimeStats>();
    this.#statsByAgent.set(agentId, agentStats);
    this.#record(agentStats, key, runMs);
    this.#record(this.#statsByKey, key, runMs);
  }

  /**
   * Gets the mean run time at one agent, in milliseconds; undefined when no
   * recent one is known.
   */
  getAgentMean(key: string, agentId: string): number | undefined {
    return this.#getRecent(this.#statsByAgent.get(agentId)?.get(key))?.mean;
  }

  /**
   * Gets the mean run time at all agents, in milliseconds; undefined when no
   * recent one is known.
   */
  getMean(key: string): number | undefined {
    return this.#getRecent(this.#statsByKey.get(key))?.mean;
  }

  /**
   * Gets the mean run time at the fastest agent, in milliseconds; undefined
   * while there are too few recent run times.
   */
  getShortestMean(key: string): number | undefined {
    const stats = this.#getRecent(this.#statsByKey.get(key));
    if (stats === undefined || stats.samples < MIN_SAMPLES) {
      return undefined;
    }
    let shortest = stats.mean;
    for (const agentId of this.#statsByAgent.keys()) {
      shortest = Math.min(
        shortest,
        this.getAgentMean(key, agentId) ?? Infinity,
      );
    }
    return shortest;
  }

  /**
   * Gets the run time beyond which a task is a straggler, in milliseconds;
   * undefined while there are too few recent run times.
   */
  getStragglerThresholdMs(key: string): number | undefined {
    const stats = this.#getRecent(this.#statsByKey.get(key));
    // Mean plus four deviations, as in TCP's retransmission timeout: few
    // ordinary tasks take longer.
    return stats === undefined || stats.samples < MIN_SAMPLES
      ? undefined
      : stats.mean + 4 * stats.deviation;
  }

  /** Deletes the run times of an agent that was removed. */
  removeAgent(agentId: string): void {
    this.#statsByAgent.delete(agentId);
  }

  #record(
    statsByKey: Map<string, RunTimeStats>,
    key: string,
    runMs: number,
  ): void {
    const now = this.#getTime();
    const stats = this.#getRecent(statsByKey.get(key));
    if (stats === undefined) {
      const first = { mean: runMs, deviation: runMs / 2, samples: 1 };
      statsByKey.set(key, { ...first, updatedAt: now });
      return;
    }
    stats.samples++;
    const highest = Math.max(1, stats.mean) * OUTLIER_FACTOR;
    const lowest = stats.mean / OUTLIER_FACTOR;
    const value = Math.min(highest, Math.max(lowest, runMs));
    const weight = Math.max(MIN_WEIGHT, 1 / stats.samples);
    const difference = value - stats.mean;
    stats.mean += weight * difference;
    stats.deviation += weight * (Math.abs(difference) - stats.deviation);
    stats.updatedAt = now;
  }

  #getRecent(stats: RunTimeStats | undefined): RunTimeStats | undefined {
    return stats !== undefined &&
        this.#getTime() - stats.updatedAt <= MAX_AGE_MS
      ? stats
      : undefined;
  }
}
