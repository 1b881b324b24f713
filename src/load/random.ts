import {
  type RandomGenerator,
  unsafeUniformIntDistribution,
  xoroshiro128plus,
} from "pure-rand";

const MAX_INT = 0x3fffffff;

/** Generates pseudorandom numbers that are the same for the same seed. */
export class Random {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Gets a number from 0 up to, but not including, 1. */
  getFloat(): number {
    return unsafeUniformIntDistribution(0, MAX_INT, this.#generator) /
      (MAX_INT + 1);
  }

  /** Gets an integer between two bounds, both inclusive. */
  getInt(min: number, max: number): number {
    return unsafeUniformIntDistribution(min, max, this.#generator);
  }

  /** Gets a log-uniformly distributed number between two bounds. */
  getLogUniform(min: number, max: number): number {
    return min * Math.exp(this.getFloat() * Math.log(max / min));
  }
}
