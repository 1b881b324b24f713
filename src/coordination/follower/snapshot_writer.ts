import { getRank, hasher } from "../../state/hashing/mod.ts";
import type { LogRecord } from "../../state/view/mod.ts";
import type { LogService } from "../ports/mod.ts";
import type { LogFollower } from "./log_follower.ts";
import { VIEW_LIMITS } from "./view_limits.ts";

/** Number of records since the last snapshot after which the next is due. */
const MAX_RECORDS_SINCE_SNAPSHOT = 500;

/** Interval at which the writer checks for a due snapshot, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/**
 * Time for which each entry in the ranked order may write the snapshot before
 * the next entry does, in milliseconds.
 */
const TURN_MS = 2_000;

export interface SnapshotWriterOptions {
  memberId: string;
  follower: LogFollower;
  log: LogService;
  /**
   * Time since the last snapshot after which the next is due, in milliseconds.
   */
  intervalMs: number;
}

/**
 * Appends snapshots of the view to the log, so that a process can start after
 * the log has deleted older records. The entries try in turn, in a ranked order
 * that each of them derives from the last snapshot. A second snapshot in the
 * same round is harmless.
 */
export class SnapshotWriter {
  readonly #options: SnapshotWriterOptions;
  #dueAt: number | undefined;
  #lastAttemptAt = -Infinity;

  constructor(options: SnapshotWriterOptions) {
    this.#options = options;
  }

  /** Writes due snapshots, checking periodically until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.writeIfDue();
      await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
    }
  }

  /**
   * Appends a snapshot if one is due and it is this entry's turn. Returns
   * whether a snapshot was appended.
   */
  async writeIfDue(): Promise<boolean> {
    const { follower, log } = this.#options;
    const now = follower.getTime();
    if (!this.#isDue(now)) {
      this.#dueAt = undefined;
      return false;
    }
    this.#dueAt ??= now;
    const turn = this.#getTurn();
    if (
      turn === undefined || now - this.#dueAt < turn * TURN_MS ||
      now - this.#lastAttemptAt < TURN_MS
    ) {
      return false;
    }
    this.#lastAttemptAt = now;
    const view = follower.view.createSnapshot();
    const appended = await log.append({
      type: "snapshot",
      at: view.offset,
      view: view as unknown as Extract<LogRecord, { type: "snapshot" }>["view"],
      timeMs: Date.now(),
    });
    return appended.isOk();
  }

  #isDue(now: number): boolean {
    const { follower, intervalMs } = this.#options;
    const { snapshot, view } = follower;
    // A snapshot of a stale view would be outdated when it is written.
    if (follower.getViewAgeMs() >= VIEW_LIMITS.maxViewAgeMs) {
      return false;
    }
    return snapshot === undefined ||
      view.offset - snapshot.viewOffset > MAX_RECORDS_SINCE_SNAPSHOT ||
      now - snapshot.writtenAtMs >= intervalMs;
  }

  /**
   * Gets this entry's position in the ranked order of the round, from 0.
   * Returns undefined if it isn't a live member.
   */
  #getTurn(): number | undefined {
    const { follower, memberId } = this.#options;
    const round = hasher.h32(String(follower.snapshot?.offset ?? 0));
    const order = follower.view.getMembers("entry")
      .filter(({ phase }) => phase === "live")
      .map(({ id }) => ({ id, rank: getRank(round, hasher.h32(id)) }))
      .sort((a, b) => b.rank - a.rank || (a.id < b.id ? -1 : 1));
    const turn = order.findIndex(({ id }) => id === memberId);
    return turn < 0 ? undefined : turn;
  }
}
