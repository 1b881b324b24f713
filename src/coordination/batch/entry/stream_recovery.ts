import { BATCH_LIMITS } from "../batch_limits.ts";

/**
 * Tells whether an entry that reached no agent may still lack streams to agents that run.
 * Meanwhile another entry may have got its jobs, and only agents that it doesn't reach yet
 * may know that: streams open up to `BATCH_LIMITS.maxReopenDelayMs` after the first one.
 */
export class StreamRecovery {
  #remainingMs = 0;

  /** Gets whether streams to further agents may open soon. */
  get isRecovering(): boolean {
    return this.#remainingMs > 0;
  }

  /**
   * Takes note of the reached agents. Called once in each `linkCheckIntervalMs`; counts
   * these calls, so that a pause of this process is left out.
   */
  update(reachedCount: number, knownCount: number): void {
    const { linkCheckIntervalMs, maxReopenDelayMs } = BATCH_LIMITS;
    if (reachedCount === 0) {
      // One interval more, since the first stream may have opened right before a check.
      this.#remainingMs = maxReopenDelayMs + 2 * linkCheckIntervalMs;
    } else if (reachedCount === knownCount) {
      this.#remainingMs = 0;
    } else {
      this.#remainingMs -= linkCheckIntervalMs;
    }
  }
}
