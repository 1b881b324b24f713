import type { SettingsTree } from "../settings/mod.ts";
import type { ChangeOutcome } from "./change_outcome.ts";
import type { LogRecord } from "./log_record.ts";
import { MemberTable } from "./member_table.ts";
import type { MemberState } from "./member_state.ts";
import { SettingsStore } from "./settings_store.ts";
import type { ViewEvent } from "./view_event.ts";
import { ViewSnapshot } from "./view_snapshot.ts";

/**
 * The replicated state that results from applying the log's records in order:
 * the settings, the members, and which zones and upstreams are out of service.
 * Two processes that have applied the same records hold the same view.
 */
export class ClusterView {
  #offset = 0;
  readonly #settings = new SettingsStore();
  readonly #members = new MemberTable({
    getEntriesPerAgent: () => this.#settings.tree.entriesPerAgent,
  });

  /** Gets the offset of the last applied record; 0 before the first. */
  get offset(): number {
    return this.#offset;
  }

  /** Gets the settings in force. */
  get settings(): SettingsTree {
    return this.#settings.tree;
  }

  /** Gets the revision of the settings in force. */
  get revision(): number {
    return this.#settings.revision;
  }

  /** Gets the log offset of the last change of membership. */
  get epoch(): number {
    return this.#members.epoch;
  }

  /** Gets a member by id. */
  getMember(id: string): MemberState | undefined {
    return this.#members.get(id);
  }

  /** Gets all members of a role, the leaving ones included. */
  getMembers(role: "entry" | "agent"): MemberState[] {
    return this.#members.getAll().filter((member) => member.role === role);
  }

  /** Gets the ids of the entries that use an agent, and so observe it. */
  getEntriesOf(agentId: string): ReadonlySet<string> {
    return this.#members.getEntriesOf(agentId);
  }

  /** Gets the outcome of a change; undefined if it is unknown or not recent. */
  getChangeOutcome(changeId: string): ChangeOutcome | undefined {
    return this.#settings.getChangeOutcome(changeId);
  }

  /** Returns whether the availability zone is in service. */
  isZoneInService(zone: string): boolean {
    return this.settings.zones?.[zone]?.state !== "out";
  }

  /**
   * Returns whether the upstream beside the agent of this name is in service.
   */
  isUpstreamInService(name: string): boolean {
    return this.settings.upstreams?.[name]?.state !== "out";
  }

  /** Returns whether the agent may be given new work. */
  isInService(member: MemberState): boolean {
    return member.phase === "live" && this.isZoneInService(member.zone) &&
      this.isUpstreamInService(member.name);
  }

  /**
   * Applies the record that follows the last applied one.
   * @param record - The record.
   * @param offset - Its offset; records at or below the view's offset are
   * ignored.
   */
  apply(record: LogRecord, offset: number): ViewEvent[] {
    if (offset <= this.#offset) {
      return [];
    }
    this.#offset = offset;
    switch (record.type) {
      case "change": {
        const outcome = this.#settings.apply(record, offset);
        return [{ type: "change", id: record.id, outcome }];
      }
      case "announce":
        return this.#members.announce(record.member, offset);
      case "leave":
        return this.#members.leave(record.memberId, record.phase, { offset });
      case "suspect":
        return this.#members.suspect(record.observerId, record.memberIds, {
          offset,
          timeMs: record.timeMs,
        });
      case "snapshot":
        return [];
      default:
        return record satisfies never;
    }
  }

  /** Skips a record that this version can't read, by its offset. */
  skip(offset: number): ViewEvent[] {
    this.#offset = Math.max(this.#offset, offset);
    return [{ type: "skipped" }];
  }

  /** Gets the whole view for a snapshot record. */
  createSnapshot(): ViewSnapshot {
    return {
      offset: this.#offset,
      settings: this.#settings.createSnapshot(),
      members: this.#members.createSnapshot(),
    };
  }

  /**
   * Replaces the view with a snapshot, and returns the events that describe the
   * difference. Returns undefined, and changes nothing, when the snapshot is
   * unreadable or older than the view.
   */
  restoreSnapshot(value: unknown): ViewEvent[] | undefined {
    const snapshot = ViewSnapshot.safeParse(value);
    if (!snapshot.success || snapshot.data.offset < this.#offset) {
      return undefined;
    }
    this.#offset = snapshot.data.offset;
    this.#settings.restoreSnapshot(snapshot.data.settings);
    return this.#members.restoreSnapshot(snapshot.data.members);
  }
}
