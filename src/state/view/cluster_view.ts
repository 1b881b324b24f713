import type { SettingsTree } from "../settings/mod.ts";
import type { ChangeOutcome } from "./change_outcome.ts";
import type { LogRecord } from "./log_record.ts";
import { MemberTable } from "./member_table.ts";
import type { MemberState } from "./member_state.ts";
import { SettingsStore } from "./settings_store.ts";
import type { ViewEvent } from "./view_event.ts";
import { ViewSnapshot } from "./view_snapshot.ts";

/**
 * The result of applying the log's records in order: settings, members, and
 * what is out of service. Two processes that applied the same records hold the
 * same view.
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

  /** Gets the offset of the last change of membership. */
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

  /** Gets the entries that place tasks on an agent, and watch it. */
  getEntriesOf(agentId: string): ReadonlySet<string> {
    return this.#members.getEntriesOf(agentId);
  }

  /** Gets what became of a recent change. */
  getChangeOutcome(changeId: string): ChangeOutcome | undefined {
    return this.#settings.getChangeOutcome(changeId);
  }

  /** Is the availability zone in service? */
  isZoneInService(zone: string): boolean {
    return this.settings.zones?.[zone]?.state !== "out";
  }

  /** Is the upstream beside the agent of this name in service? */
  isUpstreamInService(name: string): boolean {
    return this.settings.upstreams?.[name]?.state !== "out";
  }

  /** May this agent get new work? */
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

  /** Marks an offset as applied whose record this version can't read. */
  skip(offset: number): void {
    this.#offset = Math.max(this.#offset, offset);
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
   * Sets the view from a snapshot, and gets what that changed. Gets undefined,
   * and changes nothing, when the snapshot is unreadable or would take the view
   * back.
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
