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
 * Estimates the slowdown of a worker: the ratio of actual to declared run
 * times, as a moving geometric mean.
 */
export class SlowdownEstimate {
  #logMean = 0;
  #samples = 0;

  /** Gets the factor by which declared run times are multiplied. */
  get value(): number {
    return Math.exp(this.#logMean);
  }

  /** Records the actual and the declared run time of a run, in milliseconds. */
  record(runMs: number, expectedMs: number): void {
    if (runMs <= 0 || expectedMs <= 0) {
      return;
    }
    const ratio = Math.min(
      RATIO_BOUNDS.max,
      Math.max(RATIO_BOUNDS.min, runMs / expectedMs),
    );
    this.#samples++;
    const weight = Math.max(SAMPLE_WEIGHT, INITIAL_WEIGHT / this.#samples);
    this.#logMean += weight * (Math.log(ratio) - this.#logMean);
  }
}
