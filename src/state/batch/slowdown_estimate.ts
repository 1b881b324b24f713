/**
 * Weight of a new ratio. Declared times scatter by a factor of about 1.5
 * either way; about twenty runs average that out.
 */
const WEIGHT = 0.06;

/** Weight of the first ratios, so that a slow worker is known after a few. */
const FIRST_WEIGHT = 0.3;

/** Ratios outside of these bounds count as the bound. */
const BOUNDS = { min: 0.1, max: 20 } as const;

/**
 * The learned slowdown of a worker: actual over declared run time, as a moving
 * geometric mean.
 */
export class SlowdownEstimate {
  #logMean = 0;
  #samples = 0;

  /** Gets the factor by which declared run times are multiplied. */
  get value(): number {
    return Math.exp(this.#logMean);
  }

  /** Records a run that ended. */
  record(runMs: number, expectedMs: number): void {
    if (runMs <= 0 || expectedMs <= 0) {
      return;
    }
    const ratio = Math.min(
      BOUNDS.max,
      Math.max(BOUNDS.min, runMs / expectedMs),
    );
    this.#samples++;
    const weight = Math.max(WEIGHT, FIRST_WEIGHT / this.#samples);
    this.#logMean += weight * (Math.log(ratio) - this.#logMean);
  }
}
