import { getRank, hasher } from "../../state/hashing/mod.ts";
import type { LogRecord } from "../../state/view/mod.ts";
import type { LogService } from "../ports/mod.ts";
import type { LogFollower } from "./log_follower.ts";
import { VIEW_LIMITS } from "./view_limits.ts";

/** Records after which a snapshot is due. */
const MAX_RECORDS = 500;

/** Interval of the check, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/**
 * Time that each entry in the order of choice has to act before the next one
 * does, in milliseconds.
 */
const TURN_MS = 2_000;

export interface SnapshotWriterOptions {
  memberId: string;
  follower: LogFollower;
  log: LogService;
  /** Time after which a snapshot is due, in milliseconds. */
  intervalMs: number;
}

/**
 * Appends snapshots of the view, so that a process can start after the older
 * records have passed out of retention. In each round the entries take turns in
 * an order that all derive from the last snapshot. A second snapshot in a round
 * is harmless.
 */
export class SnapshotWriter {
  readonly #options: SnapshotWriterOptions;
  #dueAt: number | undefined;
  #triedAt = -Infinity;

  constructor(options: SnapshotWriterOptions) {
    this.#options = options;
  }

  /** Checks at a fixed interval until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.writeIfDue();
      await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
    }
  }

  /**
   * Appends a snapshot when one is due and it is this entry's turn. Returns
   * whether it was appended.
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
      now - this.#triedAt < TURN_MS
    ) {
      return false;
    }
    this.#triedAt = now;
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
    // A view that is behind would make a snapshot that is old already.
    if (follower.getViewAgeMs() >= VIEW_LIMITS.maxViewAgeMs) {
      return false;
    }
    return snapshot === undefined ||
      view.offset - snapshot.viewOffset > MAX_RECORDS ||
      now - snapshot.writtenAtMs >= intervalMs;
  }

  /**
   * Gets this entry's place in the order of the round; undefined when it isn't
   * a live member.
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
