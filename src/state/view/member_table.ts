import type { Member } from "./member.ts";
import type { MemberState } from "./member_state.ts";
import type { MembersSnapshot } from "./members_snapshot.ts";
import { StreamAssignment } from "./stream_assignment.ts";
import type { ViewEvent } from "./view_event.ts";

/**
 * Largest age of a suspicion that still counts, relative to the newest
 * suspicion of the same member, in milliseconds.
 */
const SUSPICION_WINDOW_MS = 10_000;

/** Number of entries that use one agent when the settings state none. */
const DEFAULT_ENTRIES_PER_AGENT = 8;

export interface MemberTableOptions {
  /**
   * Gets the number of entries that use one agent; undefined for the default.
   */
  getEntriesPerAgent?: () => number | undefined;
}

/**
 * Tracks the members of the cluster. A member is removed when a majority of the
 * processes that observe it suspect it of having failed. With a smaller number,
 * one rack, or the smaller side of a network partition, could remove members
 * that the others still reach.
 */
export class MemberTable {
  #members = new Map<string, MemberState>();
  #suspicions = new Map<string, Map<string, number>>();
  #epoch = 0;
  readonly #streamAssignment: StreamAssignment;

  constructor(options: MemberTableOptions = {}) {
    this.#streamAssignment = new StreamAssignment({
      getEntries: () => this.getAll().filter(({ role }) => role === "entry"),
      getAgents: () => this.getAll().filter(({ role }) => role === "agent"),
      getEntriesPerAgent: () =>
        options.getEntriesPerAgent?.() ?? DEFAULT_ENTRIES_PER_AGENT,
    });
  }

  /** Gets the log offset of the last change of membership. */
  get epoch(): number {
    return this.#epoch;
  }

  /** Gets a member that hasn't left and wasn't removed. */
  get(id: string): MemberState | undefined {
    return this.#members.get(id);
  }

  /** Gets all members, the leaving ones included. */
  getAll(): MemberState[] {
    return [...this.#members.values()];
  }

  /** Gets the ids of the entries that use an agent, and so observe it. */
  getEntriesOf(agentId: string): ReadonlySet<string> {
    return this.#streamAssignment.getEntriesOf(agentId);
  }

  /**
   * Adds a member, or updates one that is announced again. Other incarnations
   * with the same name are removed, since this one replaces them.
   */
  announce(member: Member, offset: number): ViewEvent[] {
    const events: ViewEvent[] = [];
    const known = this.#members.get(member.id);
    for (const other of this.#members.values()) {
      if (other.name === member.name && other.id !== member.id) {
        events.push(this.#remove(other, "removed"));
      }
    }
    const announcedAt = known?.announcedAt ?? offset;
    const state: MemberState = {
      ...member,
      phase: known?.phase ?? "live",
      announcedAt,
    };
    this.#members.set(member.id, state);
    if (member.role === "entry") {
      this.#streamAssignment.invalidate();
    } else {
      this.#streamAssignment.addAgent(member.id);
    }
    this.#epoch = offset;
    events.push({ type: "joined", member: state });
    return [...events, ...this.#removeSuspected()];
  }

  /** Marks a member as leaving, or removes it after it has left. */
  leave(
    id: string,
    phase: "leaving" | "left",
    options: { offset: number },
  ): ViewEvent[] {
    const member = this.#members.get(id);
    if (
      member === undefined ||
      (phase === "leaving" && member.phase === "leaving")
    ) {
      return [];
    }
    this.#epoch = options.offset;
    if (phase === "left") {
      return [this.#remove(member, "left"), ...this.#removeSuspected()];
    }
    const leaving: MemberState = { ...member, phase: "leaving" };
    this.#members.set(id, leaving);
    return [{ type: "leaving", member: leaving }];
  }

  /**
   * Records that an observer suspects some members, and removes those that a
   * majority of their observers suspect.
   */
  suspect(
    observerId: string,
    ids: string[],
    options: { offset: number; timeMs: number },
  ): ViewEvent[] {
    if (!this.#members.has(observerId)) {
      return [];
    }
    for (const id of ids) {
      if (this.#members.has(id)) {
        const suspicionTimes = this.#suspicions.get(id) ??
          new Map<string, number>();
        suspicionTimes.set(observerId, options.timeMs);
        this.#suspicions.set(id, suspicionTimes);
      }
    }
    const events = this.#removeSuspected(ids);
    if (events.length > 0) {
      this.#epoch = options.offset;
    }
    return events;
  }

  /** Gets the state as the members part of a snapshot. */
  createSnapshot(): MembersSnapshot {
    return {
      members: this.getAll(),
      epoch: this.#epoch,
      suspicions: [...this.#suspicions].map((
        [id, suspicionTimes],
      ) => [id, [...suspicionTimes]]),
    };
  }

  /**
   * Replaces the state with the members part of a snapshot, and returns the
   * events that describe the difference.
   */
  restoreSnapshot(snapshot: MembersSnapshot): ViewEvent[] {
    const before = this.#members;
    this.#members = new Map(
      snapshot.members.map((member) => [member.id, member]),
    );
    this.#streamAssignment.invalidate();
    this.#epoch = snapshot.epoch;
    this.#suspicions = new Map(
      snapshot.suspicions.map(([id, suspicionTimes]) => [
        id,
        new Map(suspicionTimes),
      ]),
    );
    const events: ViewEvent[] = [];
    for (const member of before.values()) {
      if (!this.#members.has(member.id)) {
        // Without the records, a clean leave can't be told from a removal.
        // A removal is the safe assumption.
        events.push({ type: "removed", member });
      }
    }
    for (const member of this.#members.values()) {
      const known = before.get(member.id);
      if (known === undefined) {
        events.push({ type: "joined", member });
      }
      if (member.phase === "leaving" && known?.phase !== "leaving") {
        events.push({ type: "leaving", member });
      }
    }
    return events;
  }

  #remove(member: MemberState, type: "left" | "removed"): ViewEvent {
    this.#members.delete(member.id);
    this.#suspicions.delete(member.id);
    if (member.role === "entry") {
      this.#streamAssignment.invalidate();
    } else {
      this.#streamAssignment.removeAgent(member.id);
    }
    return { type, member };
  }

  /**
   * Removes the members that a majority of their observers suspect, until none
   * is left.
   * @param ids - Ids of the members whose suspicions have changed; by default
   * all suspected members, for a change of the membership. The loss of a zone
   * causes a record from each of thousands of observers, and checking all
   * members for each record took minutes of processor time.
   */
  #removeSuspected(
    ids: Iterable<string> = this.#suspicions.keys(),
  ): ViewEvent[] {
    const events: ViewEvent[] = [];
    for (const id of [...ids]) {
      const member = this.#members.get(id);
      if (member !== undefined && this.#isSuspectedByMajority(member)) {
        events.push(this.#remove(member, "removed"));
      }
    }
    // A removed member no longer counts as an observer, so a majority of the
    // remaining observers may now suspect another member.
    return events.length === 0 ? [] : [...events, ...this.#removeSuspected()];
  }

  #isSuspectedByMajority(member: MemberState): boolean {
    const suspicionTimes = this.#suspicions.get(member.id);
    if (suspicionTimes === undefined) {
      return false;
    }
    const newestMs = Math.max(...suspicionTimes.values());
    const observers = this.#getObservers(member);
    let count = 0;
    for (const [observerId, timeMs] of suspicionTimes) {
      if (
        observers.has(observerId) && newestMs - timeMs <= SUSPICION_WINDOW_MS
      ) {
        count++;
      }
    }
    return count * 2 > observers.size;
  }

  /**
   * Gets the ids of the members that exchange heartbeats with a member over a
   * stream.
   */
  #getObservers(member: MemberState): ReadonlySet<string> {
    if (member.role === "agent") {
      return this.#streamAssignment.getEntriesOf(member.id);
    }
    return this.#streamAssignment.getAgentsOf(member.id);
  }
}
