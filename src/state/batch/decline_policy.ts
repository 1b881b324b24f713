/**
 * Decides which orders of an entry may be declined. The load it answers: while all
 * workers are full, each of them would decline, and the orders that go from one to the next cost
 * the entry the processor time that it needs for answers.
 */
import { DetourForecast } from "./detour_forecast.ts";

/** Number of agents that may decline one task. */
const MAX_DECLINES = 2;

/** Share of declined orders above which most other workers are full as well. */
const MAX_DECLINED_SHARE = 0.5;

/**
 * Share of the orders that may be declined nevertheless, by which the end of an
 * overload is noticed.
 */
const PROBE_SHARE = 0.1;

/** Weight of an order in the moving share of declined orders. */
const SAMPLE_WEIGHT = 0.02;

export interface DeclinePolicyOptions {
  /** Returns a number from 0 up to 1. */
  getRandom?: () => number;
}

/** Follows the share of orders that are declined, and limits it. */
export class DeclinePolicy {
  readonly #getRandom: () => number;
  /** Moving share of the orders that were declined, 0 to 1. */
  #declinedShare = 0;
  /** How long a decline delays a task. */
  readonly detours = new DetourForecast();

  constructor(options: DeclinePolicyOptions = {}) {
    this.#getRandom = options.getRandom ?? Math.random;
  }

  /** Returns whether a task may be declined that others have declined before. */
  canBeDeclined(declines: number): boolean {
    return declines < MAX_DECLINES &&
      (this.#declinedShare <= MAX_DECLINED_SHARE ||
        this.#getRandom() < PROBE_SHARE);
  }

  /** Records whether an order that could be declined was. */
  record(wasDeclined: boolean): void {
    const sample = wasDeclined ? 1 : 0;
    this.#declinedShare += SAMPLE_WEIGHT * (sample - this.#declinedShare);
  }
}
