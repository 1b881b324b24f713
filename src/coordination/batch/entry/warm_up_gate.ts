import { setTimeout as wait } from "node:timers/promises";

/** Longest wait of jobs for agents after the start, in milliseconds. */
const MAX_WAIT_MS = 800;

/** Share of the known agents whose workers are enough to place jobs well. */
const ENOUGH_AGENTS = 0.7;

/** Interval of the checks, in milliseconds. */
const CHECK_MS = 10;

export interface WarmUpGateOptions {
  /** Gets the number of agents that have announced themselves. */
  getKnownAgents: () => number;
  /** Gets the number of agents whose workers take work. */
  getUsableAgents: () => number;
  getTime?: () => number;
}

/**
 * Holds jobs for a moment after the start of an entry. When all processes have
 * been restarted, agents come back within some hundred milliseconds, so jobs that
 * wait for them are served; placed on the first few agents, they would queue
 * there.
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

  /** May jobs be placed? */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Waits until jobs may be placed, or their client has gone. */
  async wait(signal: AbortSignal): Promise<void> {
    while (!this.#checkOpen() && !signal.aborted) {
      await wait(CHECK_MS);
    }
  }

  #checkOpen(): boolean {
    if (!this.#isOpen) {
      const { getKnownAgents, getUsableAgents } = this.#options;
      const known = getKnownAgents();
      this.#isOpen = this.#getTime() - this.#startedAt >= MAX_WAIT_MS ||
        (known > 0 && getUsableAgents() >= ENOUGH_AGENTS * known);
    }
    return this.#isOpen;
  }
}
