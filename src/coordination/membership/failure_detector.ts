import type { LogFollower } from "../follower/mod.ts";
import { VIEW_LIMITS } from "../follower/mod.ts";
import type { LogService } from "../ports/mod.ts";

/** Interval between checks, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/**
 * Time between two checks beyond which this process counts as having been
 * paused, in milliseconds.
 */
const PAUSE_THRESHOLD_MS = 1_000;

/**
 * Upper bound of the random delay before a suspicion is appended, in
 * milliseconds. With many observers, `JITTER_PER_OBSERVER_MS` raises it.
 */
const BASE_JITTER_MS = 500;

/**
 * Delay after a failed append, in milliseconds. Limits the load on the log,
 * since every process retries during a log outage.
 */
const FAILED_APPEND_DELAY_MS = 2_000;

/**
 * Random delay for each observer of a suspect, in milliseconds. Spreads the
 * records of all observers over time, since the log accepts only a few hundred
 * per second.
 */
const JITTER_PER_OBSERVER_MS = 2.5;

export interface FailureDetectorOptions {
  memberId: string;
  follower: LogFollower;
  log: LogService;
  /**
   * Gets the monitored members and the time since their last heartbeat, in
   * milliseconds.
   */
  getHeartbeatAges: () => { memberId: string; heartbeatAgeMs: number }[];
}

/**
 * Reports members whose heartbeats have stopped as suspected. A process that
 * was itself paused has missed the heartbeats of all its peers, so it suspects
 * no member until the time limit has passed again after the pause.
 */
export class FailureDetector {
  readonly #options: FailureDetectorOptions;
  readonly #suspectedAt = new Map<string, number>();
  #resumedAt = -Infinity;

  constructor(options: FailureDetectorOptions) {
    this.#options = options;
  }

  /** Checks the members periodically until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let lastCheckAt = performance.now();
    while (!signal.aborted) {
      await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
      const now = performance.now();
      if (now - lastCheckAt > PAUSE_THRESHOLD_MS) {
        this.#resumedAt = now;
      }
      lastCheckAt = now;
      const suspects = this.#findSuspects(now);
      if (suspects.length > 0) {
        await this.#reportSuspects(suspects);
      }
    }
  }

  #findSuspects(now: number): string[] {
    const limitMs = VIEW_LIMITS.suspectAfterMs;
    if (now - this.#resumedAt < limitMs) {
      return [];
    }
    return this.#options.getHeartbeatAges()
      .filter(({ heartbeatAgeMs }) => heartbeatAgeMs > limitMs)
      .map(({ memberId }) => memberId)
      .filter((id) => now - (this.#suspectedAt.get(id) ?? -Infinity) > limitMs);
  }

  async #reportSuspects(memberIds: string[]): Promise<void> {
    const { follower, log, memberId } = this.#options;
    const role = follower.view.getMember(memberId)?.role ?? "agent";
    const observerCount = follower.view.getMembers(role).length;
    const maxDelayMs = Math.max(
      BASE_JITTER_MS,
      observerCount * JITTER_PER_OBSERVER_MS,
    );
    await new Promise((resolve) =>
      setTimeout(resolve, Math.random() * maxDelayMs)
    );
    const present = memberIds.filter((id) =>
      follower.view.getMember(id) !== undefined
    );
    if (present.length === 0) {
      return;
    }
    const appended = await log.append({
      type: "suspect",
      observerId: memberId,
      memberIds: present,
      timeMs: Date.now(),
    });
    if (appended.isOk()) {
      const now = performance.now();
      present.forEach((id) => this.#suspectedAt.set(id, now));
    } else {
      await new Promise((resolve) =>
        setTimeout(resolve, FAILED_APPEND_DELAY_MS)
      );
    }
  }
}
