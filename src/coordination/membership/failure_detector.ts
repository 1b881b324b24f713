import type { LogFollower } from "../follower/mod.ts";
import { VIEW_LIMITS } from "../follower/mod.ts";
import type { LogService } from "../ports/mod.ts";

/** Interval of the check, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/**
 * A check that comes later than this after the one before means that this
 * process was paused.
 */
const PAUSE_MS = 1_000;

/** Longest random wait before a suspicion is written, in milliseconds. */
const MAX_JITTER_MS = 500;

/**
 * Wait after a failed append, in milliseconds. During an outage of the log
 * every process would retry.
 */
const FAILED_APPEND_DELAY_MS = 2_000;

/**
 * Wait for each observer of a suspect: spreads the records, since the log takes
 * few hundred a second.
 */
const JITTER_PER_OBSERVER_MS = 2.5;

export interface FailureDetectorOptions {
  memberId: string;
  follower: LogFollower;
  log: LogService;
  /**
   * Gets the watched members and the time since their last heartbeat, in
   * milliseconds.
   */
  getSilences: () => { memberId: string; silenceMs: number }[];
}

/**
 * Suspects members whose heartbeats stay away. A process that was paused finds
 * all its peers silent by its own fault, so it starts counting anew after a
 * pause.
 */
export class FailureDetector {
  readonly #options: FailureDetectorOptions;
  readonly #suspected = new Map<string, number>();
  #resumedAt = -Infinity;

  constructor(options: FailureDetectorOptions) {
    this.#options = options;
  }

  /** Checks at a fixed interval until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let last = performance.now();
    while (!signal.aborted) {
      await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
      const now = performance.now();
      if (now - last > PAUSE_MS) {
        this.#resumedAt = now;
      }
      last = now;
      const silent = this.#findSilent(now);
      if (silent.length > 0) {
        await this.#suspect(silent);
      }
    }
  }

  #findSilent(now: number): string[] {
    const limit = VIEW_LIMITS.suspectAfterMs;
    if (now - this.#resumedAt < limit) {
      return [];
    }
    return this.#options.getSilences()
      .filter(({ silenceMs }) => silenceMs > limit)
      .map(({ memberId }) => memberId)
      .filter((id) => now - (this.#suspected.get(id) ?? -Infinity) > limit);
  }

  async #suspect(memberIds: string[]): Promise<void> {
    const { follower, log, memberId } = this.#options;
    const role = follower.view.getMember(memberId)?.role ?? "agent";
    const observers = follower.view.getMembers(role).length;
    const jitter = Math.max(MAX_JITTER_MS, observers * JITTER_PER_OBSERVER_MS);
    await new Promise((resolve) => setTimeout(resolve, Math.random() * jitter));
    const still = memberIds.filter((id) =>
      follower.view.getMember(id) !== undefined
    );
    if (still.length === 0) {
      return;
    }
    const appended = await log.append({
      type: "suspect",
      observerId: memberId,
      memberIds: still,
      timeMs: Date.now(),
    });
    if (appended.isOk()) {
      const now = performance.now();
      still.forEach((id) => this.#suspected.set(id, now));
    } else {
      await new Promise((resolve) =>
        setTimeout(resolve, FAILED_APPEND_DELAY_MS)
      );
    }
  }
}
