/**
 * Decides which connections of a server are closed: those that hold up a request, and,
 * when there are too many, one that no answer is due on. The load: clients that begin
 * requests and fall silent, or open more connections than the process has descriptors.
 *
 * A connection that waits for the answer to a complete request is never closed for a new
 * one. Those that have been served before are kept for longer than others: a client of a
 * crowd has no complete request, and an ordinary one keeps its idle connection.
 */
import type { ConnectionActivity } from "./connection_activity.ts";
import type { ConnectionState } from "./connection_state.ts";
import type { ConnectionTimeLimits } from "./connection_time_limits.ts";
import type { OverdueConnection } from "./overdue_connection.ts";

/**
 * Checks without progress after which a client that doesn't read its responses may be
 * closed for a new connection.
 */
const UNREAD_CHECKS = 5;

/** Checks after which a request that isn't complete is no ordinary one. */
const SLOW_REQUEST_CHECKS = 2;

interface Entry {
  activity: ConnectionActivity;
  requestCount: number;
  progress: number;
  /** Checks since the activity began. */
  age: number;
  /** Checks since the last progress. */
  silentFor: number;
}

export class ConnectionTable<T extends ConnectionState> {
  readonly #entries = new Map<T, Entry>();

  get size(): number {
    return this.#entries.size;
  }

  add(connection: T): void {
    this.#entries.set(connection, {
      activity: "idle",
      requestCount: connection.requestCount,
      progress: connection.getProgress(),
      age: 0,
      silentFor: 0,
    });
  }

  remove(connection: T): void {
    this.#entries.delete(connection);
  }

  /** Observes all connections, and returns those that exceed a limit. */
  findOverdue(limits: ConnectionTimeLimits): OverdueConnection<T>[] {
    const overdue: OverdueConnection<T>[] = [];
    for (const [connection, entry] of this.#entries) {
      updateEntry(entry, connection);
      const { activity } = entry;
      if (
        activity !== "idle" && activity !== "handling" &&
        isOverdue(entry, activity, limits)
      ) {
        overdue.push({ connection, activity });
      }
    }
    return overdue;
  }

  /** Finds the connections whose clients read no responses, as last observed. */
  findUnread(): T[] {
    return [...this.#entries]
      .filter(([, entry]) => entry.activity === "unread" && entry.silentFor > 0)
      .map(([connection]) => connection);
  }

  /**
   * Selects the connection to close for a new one. In this order, the oldest first: those
   * on which no request was ever complete, those that are slow to complete one, those that
   * are idle, other incomplete requests, and clients that have stopped reading.
   */
  selectClosable(): T | undefined {
    let selected: T | undefined;
    let selectedRank = 0;
    for (const [connection, entry] of this.#entries) {
      const rank = getClosableRank(
        connection.getActivity(),
        entry,
        connection.servedCount > 0,
      );
      if (rank > selectedRank) {
        selected = connection;
        selectedRank = rank;
      }
    }
    return selected;
  }
}

function updateEntry(entry: Entry, connection: ConnectionState): void {
  const { requestCount } = connection;
  const activity = connection.getActivity();
  const progress = connection.getProgress();
  const isSame = activity === entry.activity &&
    requestCount === entry.requestCount;
  const isSilent = isSame && progress === entry.progress;
  entry.age = isSame ? entry.age + 1 : 0;
  entry.silentFor = isSilent ? entry.silentFor + 1 : 0;
  entry.activity = activity;
  entry.requestCount = requestCount;
  entry.progress = progress;
}

function isOverdue(
  { age, silentFor }: Entry,
  activity: "header" | "body" | "unread",
  limits: ConnectionTimeLimits,
): boolean {
  switch (activity) {
    case "header":
      return age >= limits.header;
    case "body":
      return age >= limits.body || silentFor >= limits.bodyIdle;
    case "unread":
      return silentFor >= limits.unread;
    default:
      return activity satisfies never;
  }
}

/** Gets how soon a connection is closed for a new one; 0 is never. */
function getClosableRank(
  activity: ConnectionActivity,
  { age, silentFor }: Entry,
  wasServed: boolean,
): number {
  const share = age / (1 + age);
  switch (activity) {
    case "idle":
      return wasServed ? 3 + share : 5 + share;
    case "header":
    case "body":
      if (!wasServed) {
        return 5 + share;
      }
      return age < SLOW_REQUEST_CHECKS ? 2 + share : 4 + share;
    case "unread":
      return silentFor < UNREAD_CHECKS ? 0 : 1 + share;
    case "handling":
      return 0;
    default:
      return activity satisfies never;
  }
}
