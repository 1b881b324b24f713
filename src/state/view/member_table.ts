import type { Member } from "./member.ts";
import type { MemberState } from "./member_state.ts";
import type { MembersSnapshot } from "./members_snapshot.ts";
import { StreamAssignment } from "./stream_assignment.ts";
import type { ViewEvent } from "./view_event.ts";

/**
 * Suspicions of several observers count together when they are at most this far
 * apart, in milliseconds.
 */
const SUSPICION_WINDOW_MS = 10_000;

/** Entries that use one agent where the settings don't say otherwise. */
const DEFAULT_ENTRIES_PER_AGENT = 8;

export interface MemberTableOptions {
  /** Gets the number of entries that use one agent. */
  getEntriesPerAgent?: () => number | undefined;
}

/**
 * The members of the cluster. A member is removed when a majority of the
 * processes that watch it suspect it. A smaller number would let one rack, or
 * the smaller side of a network partition, remove members that the others still
 * reach.
 */
export class MemberTable {
  #members = new Map<string, MemberState>();
  #suspicions = new Map<string, Map<string, number>>();
  #epoch = 0;
  readonly #subset: StreamAssignment;

  constructor(options: MemberTableOptions = {}) {
    this.#subset = new StreamAssignment({
      getEntries: () => this.getAll().filter(({ role }) => role === "entry"),
      getAgents: () => this.getAll().filter(({ role }) => role === "agent"),
      getEntriesPerAgent: () =>
        options.getEntriesPerAgent?.() ?? DEFAULT_ENTRIES_PER_AGENT,
    });
  }

  /** Gets the offset of the last change of membership. */
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

  /** Gets the entries that place tasks on an agent, and watch it. */
  getEntriesOf(agentId: string): ReadonlySet<string> {
    return this.#subset.getEntriesOf(agentId);
  }

  /**
   * Adds a member. An older incarnation with the same name is removed, since
   * its process was replaced.
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
      this.#subset.invalidate();
    } else {
      this.#subset.addAgent(member.id);
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
   * Records an observer's suspicion of some members, and removes those that
   * enough observers suspect.
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
        const observers = this.#suspicions.get(id) ?? new Map<string, number>();
        observers.set(observerId, options.timeMs);
        this.#suspicions.set(id, observers);
      }
    }
    const events = this.#removeSuspected(ids);
    if (events.length > 0) {
      this.#epoch = options.offset;
    }
    return events;
  }

  /** Gets the state as a part of a snapshot. */
  createSnapshot(): MembersSnapshot {
    return {
      members: this.getAll(),
      epoch: this.#epoch,
      suspicions: [...this.#suspicions].map((
        [id, observers],
      ) => [id, [...observers]]),
    };
  }

  /**
   * Sets the state from a part of a snapshot, and gets what that changes for
   * those who follow events.
   */
  restoreSnapshot(snapshot: MembersSnapshot): ViewEvent[] {
    const before = this.#members;
    this.#members = new Map(
      snapshot.members.map((member) => [member.id, member]),
    );
    this.#subset.invalidate();
    this.#epoch = snapshot.epoch;
    this.#suspicions = new Map(
      snapshot.suspicions.map(([id, observers]) => [id, new Map(observers)]),
    );
    const events: ViewEvent[] = [];
    for (const member of before.values()) {
      if (!this.#members.has(member.id)) {
        // The records are gone, so a clean leave can't be told from a removal;
        // this is the safe reading.
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
      this.#subset.invalidate();
    } else {
      this.#subset.removeAgent(member.id);
    }
    return { type, member };
  }

  /**
   * Removes suspected members until none is left that enough observers suspect.
   * @param ids - Members whose suspicions have changed; all of them when the
   * membership has changed. The loss of a zone brings a record from thousands
   * of observers, and looking at everybody for each took minutes of processor
   * time.
   */
  #removeSuspected(
    ids: Iterable<string> = this.#suspicions.keys(),
  ): ViewEvent[] {
    const events: ViewEvent[] = [];
    for (const id of [...ids]) {
      const member = this.#members.get(id);
      if (member !== undefined && this.#isSuspectedEnough(member)) {
        events.push(this.#remove(member, "removed"));
      }
    }
    // A removed member observes no more, so others may now have a majority
    // against them.
    return events.length === 0 ? [] : [...events, ...this.#removeSuspected()];
  }

  #isSuspectedEnough(member: MemberState): boolean {
    const observers = this.#suspicions.get(member.id);
    if (observers === undefined) {
      return false;
    }
    const newest = Math.max(...observers.values());
    const watching = this.#getWatching(member);
    let count = 0;
    for (const [observerId, timeMs] of observers) {
      if (watching.has(observerId) && newest - timeMs <= SUSPICION_WINDOW_MS) {
        count++;
      }
    }
    return count * 2 > watching.size;
  }

  /** Gets the members that have a stream with heartbeats to a member. */
  #getWatching(member: MemberState): ReadonlySet<string> {
    if (member.role === "agent") {
      return this.#subset.getEntriesOf(member.id);
    }
    return this.#subset.getAgentsOf(member.id);
  }
}
