/**
 * Shortest time between two announcements that entries have asked for, in
 * milliseconds.
 */
const MIN_INTERVAL_MS = 5_000;

/**
 * Time without a stream from any entry after which an agent announces itself
 * again, in milliseconds. It doubles with each announcement that no stream
 * follows, so that 8,800 agents without entries append about 150 records a second.
 */
const UNHEARD_MS = { first: 5_000, max: 60_000 } as const;

export interface AnnouncementScheduleOptions {
  /** Returns a number from 0 to 1 that spreads the agents' announcements. */
  getRandom?: () => number;
}

/**
 * Decides when an agent announces itself again: another writer may have replaced
 * or deleted its record. Entries that are connected notice that and ask for it.
 * Where none is connected, none can ask.
 */
export class AnnouncementSchedule {
  readonly #getRandom: () => number;
  #announcedAt = -Infinity;
  #isRequested = false;
  /** Time since which no entry has a stream to the agent. */
  #unheardSince: number | undefined;
  #unheardMs: number;

  constructor(options: AnnouncementScheduleOptions = {}) {
    this.#getRandom = options.getRandom ?? Math.random;
    this.#unheardMs = this.#spread(UNHEARD_MS.first);
  }

  /** Requests an announcement. */
  request(): void {
    this.#isRequested = true;
  }

  /**
   * Returns whether the agent should announce itself now.
   * @param now - Time on the monotonic clock, in milliseconds.
   * @param streamCount - Number of streams from entries.
   */
  isDue(now: number, streamCount: number): boolean {
    if (streamCount > 0) {
      this.#unheardSince = undefined;
      this.#unheardMs = this.#spread(UNHEARD_MS.first);
      return this.#isRequested && now - this.#announcedAt >= MIN_INTERVAL_MS;
    }
    this.#unheardSince ??= now;
    return now - Math.max(this.#unheardSince, this.#announcedAt) >=
      this.#unheardMs;
  }

  /** Records that the agent has announced itself. */
  recordAnnouncement(now: number): void {
    this.#announcedAt = now;
    this.#isRequested = false;
    if (this.#unheardSince !== undefined) {
      this.#unheardMs = Math.min(
        this.#spread(UNHEARD_MS.max),
        this.#unheardMs * 2,
      );
    }
  }

  #spread(ms: number): number {
    return ms * (0.75 + this.#getRandom() / 2);
  }
}
