import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";

/** A generator of random numbers with a fixed seed. */
export class TestRandom {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Gets the next random integer between two bounds, both inclusive. */
  getInt(from: number, to: number): number {
    return unsafeUniformIntDistribution(from, to, this.#generator);
  }
}
