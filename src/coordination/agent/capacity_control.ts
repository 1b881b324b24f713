import type { DispatchError } from "../../state/errors/mod.ts";
import type { CreditLedger } from "./credit_ledger.ts";

/**
 * Interval at which the state is checked, in milliseconds. Changes of the view
 * trigger a check at once, but the ageing of the view raises no event.
 */
const CHECK_INTERVAL_MS = 250;

/**
 * Time over which the slots are opened again, in milliseconds. Without a ramp,
 * the whole queue would move at once to back ends whose caches and connections
 * are cold. A longer ramp delays queued work: at a zone change, a ramp of 4 s
 * from a quarter of the slots completes 83% and 86% of the possible work, this
 * ramp 94% and 88%.
 */
const RAMP_UP_MS = 1_000;

/** Fraction of the slots that is open at the start of the ramp. */
const INITIAL_SLOT_FRACTION = 0.5;

export interface CapacityControlOptions {
  credits: CreditLedger;
  slots: number;
  /**
   * Gets the reason why no task may start now. Returns undefined if tasks may
   * start.
   */
  getRefusal: () => DispatchError | undefined;
  /** Returns whether the entries place tasks by credits. */
  usesCredits: () => boolean;
  /**
   * Whether the upstream was a member before, so that its slots ramp up at the
   * start.
   */
  isReturning: boolean;
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Lets the agent grant credits while tasks may start, withdraws them when its
 * zone or upstream goes out of service, and ramps the slots up over a second
 * when it returns to service.
 */
export class CapacityControl {
  readonly #options: CapacityControlOptions;
  readonly #getTime: () => number;
  #wasOutOfService: boolean;
  #rampStartedAt: number | undefined;
  #isStopped = false;

  constructor(options: CapacityControlOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
    this.#wasOutOfService = options.isReturning;
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

  /** Withdraws all credits permanently. */
  stop(): void {
    this.#isStopped = true;
    this.#options.credits.setGranting(false);
  }

  /** Applies the state of the view now. */
  apply(): void {
    if (this.#isStopped) {
      return;
    }
    const { credits, getRefusal, usesCredits } = this.#options;
    const refusal = getRefusal();
    if (refusal !== undefined) {
      // The back end stays warm while only the view is too old, so this needs
      // no ramp.
      this.#wasOutOfService ||= refusal.kind !== "view_stale";
      this.#rampStartedAt = undefined;
      credits.setGranting(false);
      return;
    }
    if (this.#wasOutOfService) {
      this.#wasOutOfService = false;
      this.#rampStartedAt = this.#getTime();
    }
    credits.setSlots(this.#getSlots());
    credits.setGranting(usesCredits());
  }

  #getSlots(): number {
    const { slots } = this.#options;
    if (this.#rampStartedAt === undefined) {
      return slots;
    }
    const progress = (this.#getTime() - this.#rampStartedAt) / RAMP_UP_MS;
    const openFraction = INITIAL_SLOT_FRACTION +
      (1 - INITIAL_SLOT_FRACTION) * progress;
    return Math.min(slots, Math.ceil(slots * openFraction));
  }
}
