import { setTimeout as wait } from "node:timers/promises";

/** Longest time after the start for which jobs are held, in milliseconds. */
const MAX_WAIT_MS = 800;

/** Share of the known agents that must be usable before jobs are placed. */
const MIN_USABLE_SHARE = 0.7;

/** Interval of the checks whether jobs may be placed, in milliseconds. */
const CHECK_INTERVAL_MS = 10;

export interface WarmUpGateOptions {
  /** Gets the number of agents that have announced themselves. */
  getKnownAgentCount: () => number;
  /** Gets the number of agents whose workers accept work. */
  getUsableAgentCount: () => number;
  getTime?: () => number;
}

/**
 * Holds jobs for a short time after the start of an entry. When all processes
 * have been restarted, the agents become usable within some hundred
 * milliseconds, so jobs can wait for them; placed on the first few agents, they
 * would queue there.
 */
export class WarmUpGate {
  readonly #options: WarmUpGateOptions;
  readonly #getTime: () => number;
  readonly #startedAt: number;
  #isOpen = false;

  constructor(options: WarmUpGateOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
    this.#startedAt = this.#getTime();
  }

  /** Gets whether jobs may be placed. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Waits until jobs may be placed, or until `signal` is aborted. */
  async wait(signal: AbortSignal): Promise<void> {
    while (!this.#updateOpen() && !signal.aborted) {
      await wait(CHECK_INTERVAL_MS);
    }
  }

  #updateOpen(): boolean {
    if (!this.#isOpen) {
      const {
        getKnownAgentCount,
        getUsableAgentCount,
      } = this.#options;
      const known = getKnownAgentCount();
      this.#isOpen = this.#getTime() - this.#startedAt >= MAX_WAIT_MS ||
        (known > 0 && getUsableAgentCount() >= MIN_USABLE_SHARE * known);
    }
    return this.#isOpen;
  }
}
