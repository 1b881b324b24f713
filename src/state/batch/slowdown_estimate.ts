/**
 * Estimates how slow a worker is. The load it answers: some workers turn several times
 * slower from one second to the next, and a few tasks on sound ones take several times
 * as long as declared. The mean of many runs tells apart workers of different kinds. A
 * worker is distrusted once runs of most of its latest jobs took far longer than that,
 * which single long tasks don't bring about, and is trusted again by degrees.
 */

/**
 * Weight of a new ratio. Actual run times differ from the declared ones by a
 * factor of about 1.5 in either direction; about twenty runs average this out.
 */
const SAMPLE_WEIGHT = 0.06;

/**
 * Weight of the first ratio, reduced with each further one, so that a few runs
 * are enough to recognize a slow worker.
 */
const INITIAL_WEIGHT = 0.3;

/** Ratios outside these bounds are clamped. */
const RATIO_BOUNDS = { min: 0.1, max: 20 } as const;

/**
 * Number of the latest jobs whose median tells whether the worker has turned slow. All
 * tasks of a job have the same declared run time, which may be far too short.
 */
const RECENT_JOBS = 5;

/** Least number of jobs for a median. */
const MIN_RECENT_JOBS = 3;

/** Factor between the median and the mean from which on the worker is distrusted. */
const DISTRUST_FACTOR = 3;

/**
 * Time in which the logarithm of the additional slowdown of a distrusted worker
 * halves, in milliseconds: it gets few tasks, so its runs alone would not show soon
 * that it is sound again.
 */
const TRUST_HALF_LIFE_MS = 2_000;

export interface SlowdownEstimateOptions {
  /** Gets the time on the monotonic clock, in milliseconds. */
  getTime?: () => number;
}

/**
 * Estimates the slowdown of a worker: the ratio of actual to declared run times, as a
 * moving geometric mean, or that of the latest runs while they took far longer.
 */
export class SlowdownEstimate {
  readonly #getTime: () => number;
  #logMean = 0;
  #samples = 0;
  /** Logarithm of the least ratio of each of the latest jobs, oldest first. */
  readonly #recent: { job: string; logRatio: number }[] = [];
  /** Additional slowdown at `#distrustedAt`, as a logarithm. */
  #logExcess = 0;
  #distrustedAt = 0;

  constructor(options: SlowdownEstimateOptions = {}) {
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** Gets the factor by which all runs exceeded declared run times on average. */
  get mean(): number {
    return Math.exp(this.#logMean);
  }

  /** Gets the factor by which declared run times are multiplied. */
  get value(): number {
    return Math.exp(this.#logMean + this.#getLogExcess());
  }

  /**
   * Records a run.
   * @param job - Identifies its job.
   * @param runMs - Actual run time, in milliseconds.
   * @param expectedMs - Declared run time, in milliseconds.
   */
  record(job: string, runMs: number, expectedMs: number): void {
    if (runMs <= 0 || expectedMs <= 0) {
      return;
    }
    const ratio = Math.min(
      RATIO_BOUNDS.max,
      Math.max(RATIO_BOUNDS.min, runMs / expectedMs),
    );
    const logRatio = Math.log(ratio);
    this.#samples++;
    this.#recordRecent(job, logRatio);
    const weight = Math.max(SAMPLE_WEIGHT, INITIAL_WEIGHT / this.#samples);
    this.#logMean += weight * (logRatio - this.#logMean);
    const logExcess = this.#getMedian() - this.#logMean;
    if (
      this.#recent.length >= MIN_RECENT_JOBS &&
      logExcess > Math.log(DISTRUST_FACTOR)
    ) {
      this.#logExcess = logExcess;
      this.#distrustedAt = this.#getTime();
    }
  }

  #recordRecent(job: string, logRatio: number): void {
    const known = this.#recent.find((recent) => recent.job === job);
    if (known !== undefined) {
      known.logRatio = Math.min(known.logRatio, logRatio);
    } else if (this.#recent.push({ job, logRatio }) > RECENT_JOBS) {
      this.#recent.shift();
    }
  }

  #getMedian(): number {
    const sorted = this.#recent.map(({ logRatio }) => logRatio)
      .sort((a, b) => a - b);
    return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  }

  #getLogExcess(): number {
    if (this.#logExcess === 0) {
      return 0;
    }
    const halfLives = (this.#getTime() - this.#distrustedAt) /
      TRUST_HALF_LIFE_MS;
    return this.#logExcess * 0.5 ** halfLives;
  }
}
