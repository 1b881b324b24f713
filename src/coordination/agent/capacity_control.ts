import type { DispatchError } from "../../state/errors/mod.ts";
import type { CreditLedger } from "./credit_ledger.ts";

/**
 * Interval of the check, in milliseconds. View events are checked at once; the
 * view's age changes silently.
 */
const CHECK_INTERVAL_MS = 250;

/**
 * Time over which the slots return, in milliseconds. Caches and connections of
 * the returning back ends are cold, and the whole queue would move there at
 * once. Each second costs work that waits: with 4 s from a quarter of the slots
 * on, a zone change did 83% and 86% of the allowed work, with these values 94%
 * and 88%.
 */
const RAMP_UP_MS = 1_000;

/** Part of the slots that is open at once after a return. */
const FIRST_PART = 0.5;

export interface CapacityControlOptions {
  credits: CreditLedger;
  slots: number;
  /** Gets the reason why no task may start now. */
  getRefusal: () => DispatchError | undefined;
  /** Do the entries place tasks by credits? */
  usesCredits: () => boolean;
  /** Is this an upstream that was here before? */
  isReturning: boolean;
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Opens the agent's credits while tasks may start, withdraws them when its zone
 * or upstream goes out, and ramps the slots up over a second when it returns.
 */
export class CapacityControl {
  readonly #options: CapacityControlOptions;
  readonly #getTime: () => number;
  #wasOut: boolean;
  #rampStart: number | undefined;
  #isStopped = false;

  constructor(options: CapacityControlOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
    this.#wasOut = options.isReturning;
  }

  /**
   * Applies the state of the view at a fixed interval until the signal aborts.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.#isStopped) {
      this.apply();
      await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
    }
  }

  /** Withdraws all credits for good. */
  stop(): void {
    this.#isStopped = true;
    this.#options.credits.setGranting(false);
  }

  /** Applies the state of the view now. */
  apply(): void {
    if (this.#isStopped) {
      return;
    }
    const { credits, getRefusal, usesCredits: hasCredits } = this.#options;
    const refusal = getRefusal();
    if (refusal !== undefined) {
      // A view that was too old for a moment doesn't make the back end cold.
      this.#wasOut ||= refusal.kind !== "view_stale";
      this.#rampStart = undefined;
      credits.setGranting(false);
      return;
    }
    if (this.#wasOut) {
      this.#wasOut = false;
      this.#rampStart = this.#getTime();
    }
    credits.setSlots(this.#getSlots());
    credits.setGranting(hasCredits());
  }

  #getSlots(): number {
    const { slots } = this.#options;
    if (this.#rampStart === undefined) {
      return slots;
    }
    const part = (this.#getTime() - this.#rampStart) / RAMP_UP_MS;
    const open = FIRST_PART + (1 - FIRST_PART) * part;
    return Math.min(slots, Math.ceil(slots * open));
  }
}
