import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";

/** Random numbers with a fixed seed. */
export class TestRandom {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Gets the next whole number between two bounds, both included. */
  getInt(from: number, to: number): number {
    return unsafeUniformIntDistribution(from, to, this.#generator);
  }
}
