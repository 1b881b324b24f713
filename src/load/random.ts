import {
  type RandomGenerator,
  unsafeUniformIntDistribution,
  xoroshiro128plus,
} from "pure-rand";

const RESOLUTION = 0x3fffffff;

/** Random numbers that are the same for the same seed. */
export class Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Gets a number from 0 up to, but not including, 1. */
  getFloat(): number {
    return unsafeUniformIntDistribution(0, RESOLUTION, this.#generator) /
      (RESOLUTION + 1);
  }

  /** Gets a whole number between two bounds, both included. */
  getInt(min: number, max: number): number {
    return unsafeUniformIntDistribution(min, max, this.#generator);
  }

  /** Gets a number between two bounds whose logarithm is uniform. */
  getLogUniform(min: number, max: number): number {
    return min * Math.exp(this.getFloat() * Math.log(max / min));
  }
}
