import { createError, createSchemaError } from "../errors/mod.ts";
import { SettingsTree } from "../settings/mod.ts";
import type { ChangeOutcome } from "./change_outcome.ts";
import type { ChangeRecord } from "./change_record.ts";
import type { SettingsSnapshot } from "./settings_snapshot.ts";

/** Outcomes that are kept so that a writer whose reply was lost finds its change. */
const MAX_OUTCOMES = 1_000;

/**
 * The settings tree with the rule that decides between racing operators. A change conflicts when a path
 * that equals, contains or lies below an edited path was changed after the change's base revision.
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

  /** Gets what became of a change, if it is recent. */
  getOutcome(changeId: string): ChangeOutcome | undefined {
    return this.#outcomes.get(changeId);
  }

  /**
   * Applies a change, or rejects it.
   * @param change - The record.
   * @param offset - Its offset in the log.
   */
  apply(change: ChangeRecord, offset: number): ChangeOutcome {
    const known = this.#outcomes.get(change.id);
    if (known !== undefined) {
      return known;
    }
    const outcome = this.#decide(change, offset);
    this.#outcomes.set(change.id, outcome);
    if (this.#outcomes.size > MAX_OUTCOMES) {
      const oldest = this.#outcomes.keys().next().value as string;
      this.#outcomes.delete(oldest);
    }
    return outcome;
  }

  /** Gets the state as a part of a snapshot. */
  createSnapshot(): SettingsSnapshot {
    return {
      tree: this.#tree,
      revision: this.#revision,
      pathRevisions: Object.fromEntries(this.#pathRevisions),
      outcomes: [...this.#outcomes],
    };
  }

  /** Sets the state from a part of a snapshot. */
  setSnapshot(snapshot: SettingsSnapshot): void {
    this.#tree = snapshot.tree;
    this.#revision = snapshot.revision;
    this.#pathRevisions = new Map(Object.entries(snapshot.pathRevisions));
    this.#outcomes = new Map(snapshot.outcomes);
  }

  #decide(change: ChangeRecord, offset: number): ChangeOutcome {
    const winner = this.#findWinner(change);
    if (winner !== undefined) {
      const message =
        `revision ${winner} changed the same settings after ${change.baseRevision}`;
      return {
        type: "rejected",
        winner,
        error: createError("revision_conflict", message),
      };
    }
    const edited = structuredClone(this.#tree);
    for (const edit of change.edits) {
      setPath(edited, edit.path.split("."), edit.value);
    }
    const checked = SettingsTree.safeParse(edited);
    if (!checked.success) {
      return {
        type: "rejected",
        error: createSchemaError("invalid_settings", checked.error),
      };
    }
    this.#tree = checked.data;
    this.#revision = offset;
    for (const edit of change.edits) {
      this.#pathRevisions.set(edit.path, offset);
    }
    return { type: "accepted", revision: offset };
  }

  #findWinner(change: ChangeRecord): number | undefined {
    let winner: number | undefined;
    for (const edit of change.edits) {
      for (const [path, revision] of this.#pathRevisions) {
        if (revision > change.baseRevision && isRelated(path, edit.path)) {
          winner = Math.max(winner ?? 0, revision);
        }
      }
    }
    return winner;
  }
}

function isRelated(first: string, second: string): boolean {
  return first === second || first.startsWith(`${second}.`) ||
    second.startsWith(`${first}.`);
}

function setPath(
  tree: Record<string, unknown>,
  path: string[],
  value: unknown,
): void {
  const last = path[path.length - 1] as string;
  let node = tree;
  for (const name of path.slice(0, -1)) {
    const child = Object.hasOwn(node, name) ? node[name] : undefined;
    if (typeof child === "object" && child !== null && !Array.isArray(child)) {
      node = child as Record<string, unknown>;
    } else {
      const created: Record<string, unknown> = {};
      Object.defineProperty(node, name, {
        value: created,
        enumerable: true,
        writable: true,
        configurable: true,
      });
      node = created;
    }
  }
  if (value === null) {
    delete node[last];
  } else {
    // A plain assignment to "__proto__" would change the prototype in place of adding a property.
    Object.defineProperty(node, last, {
      value,
      enumerable: true,
      writable: true,
      configurable: true,
    });
  }
}
