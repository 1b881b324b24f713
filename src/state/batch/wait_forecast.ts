/**
 * Learns how long tasks wait near the data that they name. The load it answers: one
 * rack holds what most urgent jobs want, and several entries place tasks there by
 * reports that don't show what the others have sent since. A wait computed from a
 * report is then too short, by an amount that depends on the rack and changes within
 * seconds, so the waits of earlier tasks correct it.
 */

/** Weight of the latest wait. */
const SAMPLE_WEIGHT = 0.05;

/** Waits computed to be shorter are taken as this long, in milliseconds. */
const MIN_COMPUTED_MS = 5;

/** Number of mean distances from the mean beyond which few waits are. */
const SPREADS = 2;

/** Bounds of the factor by which one wait differs from the computed one. */
const FACTOR_BOUNDS = { min: 0.2, max: 5 } as const;

/** Largest number of racks of which waits are kept. */
const MAX_RACKS = 256;

interface RackWaits {
  /** Mean factor between waits and the computed ones. */
  factor: number;
  /** Mean distance of such a factor from the mean. */
  spread: number;
}

const FIRST_WAITS: Readonly<RackWaits> = { factor: 1, spread: 0.5 };

/** Corrects computed waits by those of earlier tasks, for each rack. */
export class WaitForecast {
  /** In the order of their latest use. */
  readonly #racks = new Map<string, RackWaits>();
  /**
   * Mean wait of tasks that were placed on free room, in milliseconds: the time of
   * the messages, and of this entry until it handles them.
   */
  #freeMs = 0;

  /**
   * Records the wait of a task that names a rack.
   * @param computedMs - Wait that was computed from a report, in milliseconds.
   * @param waitMs - Wait until the start, or until the task was handed back.
   */
  record(rack: string, computedMs: number, waitMs: number): void {
    if (computedMs <= 0) {
      this.#freeMs += SAMPLE_WEIGHT * (waitMs - this.#freeMs);
      return;
    }
    const waits = this.#racks.get(rack) ?? { ...FIRST_WAITS };
    this.#racks.delete(rack);
    this.#racks.set(rack, waits);
    const [oldest] = this.#racks.keys();
    if (this.#racks.size > MAX_RACKS && oldest !== undefined) {
      this.#racks.delete(oldest);
    }
    const ratio = Math.max(0, waitMs - this.#freeMs) /
      Math.max(MIN_COMPUTED_MS, computedMs);
    const factor = Math.min(
      FACTOR_BOUNDS.max,
      Math.max(FACTOR_BOUNDS.min, ratio),
    );
    const error = factor - waits.factor;
    waits.factor += SAMPLE_WEIGHT * error;
    waits.spread += SAMPLE_WEIGHT * (Math.abs(error) - waits.spread);
  }

  /**
   * Estimates the wait for which a computed one stands, in milliseconds: its mean,
   * and one that few tasks exceed.
   */
  estimate(
    rack: string,
    computedMs: number,
  ): { meanMs: number; longMs: number } {
    const { factor, spread } = this.#racks.get(rack) ?? FIRST_WAITS;
    return {
      meanMs: computedMs * factor,
      longMs: computedMs * (factor + SPREADS * spread),
    };
  }
}
