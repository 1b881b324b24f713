import { createError } from "../errors/mod.ts";
import { checkSettings, type SettingsTree } from "../settings/mod.ts";
import { applyEdits } from "./apply_edits.ts";
import type { ChangeOutcome } from "./change_outcome.ts";
import type { ChangeRecord } from "./change_record.ts";
import type { SettingsSnapshot } from "./settings_snapshot.ts";

/**
 * Number of outcomes that are kept, so that a writer whose append reply was
 * lost can look up what became of its change.
 */
const MAX_OUTCOMES = 1_000;

/**
 * Holds the settings tree and rejects conflicting concurrent changes. A change
 * conflicts when a path that equals, contains or lies below an edited path was
 * changed after the change's base revision.
 */
export class SettingsStore {
  #tree: SettingsTree = {};
  #revision = 0;
  #pathRevisions = new Map<string, number>();
  #outcomes = new Map<string, ChangeOutcome>();

  /** Gets the settings in force. */
  get tree(): SettingsTree {
    return this.#tree;
  }

  /** Gets the offset of the last accepted change. */
  get revision(): number {
    return this.#revision;
  }

  /** Gets the outcome of a change; undefined if it is unknown or not recent. */
  getChangeOutcome(changeId: string): ChangeOutcome | undefined {
    return this.#outcomes.get(changeId);
  }

  /**
   * Applies a change, or rejects it. A change with the id of a recent one has
   * no effect and gets that one's outcome.
   * @param change - The record.
   * @param offset - Its offset in the log.
   */
  apply(change: ChangeRecord, offset: number): ChangeOutcome {
    const known = this.#outcomes.get(change.id);
    if (known !== undefined) {
      return known;
    }
    const outcome = this.#applyNewChange(change, offset);
    this.#outcomes.set(change.id, outcome);
    if (this.#outcomes.size > MAX_OUTCOMES) {
      const oldest = this.#outcomes.keys().next().value as string;
      this.#outcomes.delete(oldest);
    }
    return outcome;
  }

  /** Gets the state as the settings part of a snapshot. */
  createSnapshot(): SettingsSnapshot {
    return {
      tree: this.#tree,
      revision: this.#revision,
      pathRevisions: Object.fromEntries(this.#pathRevisions),
      outcomes: [...this.#outcomes],
    };
  }

  /** Replaces the state with the settings part of a snapshot. */
  restoreSnapshot(snapshot: SettingsSnapshot): void {
    this.#tree = snapshot.tree;
    this.#revision = snapshot.revision;
    this.#pathRevisions = new Map(Object.entries(snapshot.pathRevisions));
    this.#outcomes = new Map(snapshot.outcomes);
  }

  #applyNewChange(change: ChangeRecord, offset: number): ChangeOutcome {
    const conflict = this.#findConflict(change);
    if (conflict !== undefined) {
      const message =
        `revision ${conflict.revision} changed "${conflict.path}" after revision ${change.baseRevision}`;
      return {
        type: "rejected",
        winner: conflict.revision,
        error: createError("revision_conflict", message, {
          path: conflict.path,
        }),
      };
    }
    const checked = checkSettings(applyEdits(this.#tree, change.edits));
    if (checked.isErr()) {
      return { type: "rejected", error: checked.error };
    }
    this.#tree = checked.value;
    this.#revision = offset;
    for (const edit of change.edits) {
      this.#setPathRevision(edit.path, offset);
    }
    return { type: "accepted", revision: offset };
  }

  /**
   * Records the revision of a path. An edit of a node counts as an edit of all
   * nodes below it, so their older revisions are dropped.
   */
  #setPathRevision(path: string, revision: number): void {
    for (const other of this.#pathRevisions.keys()) {
      if (other.startsWith(`${path}.`)) {
        this.#pathRevisions.delete(other);
      }
    }
    this.#pathRevisions.set(path, revision);
  }

  /**
   * Finds the newest edit after the change's base revision whose path overlaps
   * an edited path of the change.
   */
  #findConflict(
    change: ChangeRecord,
  ): { path: string; revision: number } | undefined {
    let conflict: { path: string; revision: number } | undefined;
    for (const edit of change.edits) {
      for (const [path, revision] of this.#pathRevisions) {
        if (
          revision > Math.max(change.baseRevision, conflict?.revision ?? 0) &&
          hasOverlap(path, edit.path)
        ) {
          conflict = { path, revision };
        }
      }
    }
    return conflict;
  }
}

function hasOverlap(first: string, second: string): boolean {
  return first === second || first.startsWith(`${second}.`) ||
    second.startsWith(`${first}.`);
}
