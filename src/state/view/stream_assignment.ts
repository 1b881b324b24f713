import { getRank, hasher } from "../hashing/mod.ts";
import type { MemberState } from "./member_state.ts";

interface Zone {
  readonly hash: number;
  readonly entries: readonly { readonly id: string; readonly hash: number }[];
}

export interface StreamAssignmentOptions {
  getEntries: () => readonly MemberState[];
  getAgents: () => readonly MemberState[];
  /** Gets the largest number of entries that use one agent. */
  getEntriesPerAgent: () => number;
}

/**
 * The entries that hold a stream with credits to an agent, and so watch it.
 * They are chosen by rendezvous hashing, so a change of one entry moves few
 * streams, and spread over the zones of the entries, so that the loss of a zone
 * leaves an agent in use.
 */
export class StreamAssignment {
  readonly #options: StreamAssignmentOptions;
  readonly #byAgent = new Map<string, ReadonlySet<string>>();
  /**
   * The agents by entry; made when it is first asked for after a change of the
   * entries.
   */
  #byEntry: Map<string, Set<string>> | undefined;
  #zones: readonly Zone[] | undefined;
  #limit = 0;

  constructor(options: StreamAssignmentOptions) {
    this.#options = options;
  }

  /** Forgets what was chosen, after the entries have changed. */
  invalidate(): void {
    this.#zones = undefined;
  }

  /** Gets the ids of the entries that use an agent. */
  getEntriesOf(agentId: string): ReadonlySet<string> {
    const { getEntriesPerAgent: getLimit, getEntries } = this.#options;
    const limit = getLimit();
    if (this.#zones === undefined || this.#limit !== limit) {
      this.#limit = limit;
      this.#zones = createZones(getEntries());
      this.#byAgent.clear();
      this.#byEntry = undefined;
    }
    let chosen = this.#byAgent.get(agentId);
    if (chosen === undefined) {
      chosen = selectEntries(hasher.h32(agentId), this.#zones, limit);
      this.#byAgent.set(agentId, chosen);
    }
    return chosen;
  }

  /** Gets the ids of the agents that an entry uses. */
  getAgentsOf(entryId: string): ReadonlySet<string> {
    if (
      this.#zones === undefined ||
      this.#limit !== this.#options.getEntriesPerAgent() ||
      this.#byEntry === undefined
    ) {
      const byEntry = new Map<string, Set<string>>();
      for (const { id } of this.#options.getAgents()) {
        this.#addTo(byEntry, id);
      }
      this.#byEntry = byEntry;
    }
    return this.#byEntry.get(entryId) ?? new Set();
  }

  /** Adds an agent that has joined. */
  addAgent(agentId: string): void {
    if (this.#byEntry !== undefined) {
      this.#addTo(this.#byEntry, agentId);
    }
  }

  /** Removes an agent that has left or was removed. */
  removeAgent(agentId: string): void {
    for (const entryId of this.#byAgent.get(agentId) ?? []) {
      this.#byEntry?.get(entryId)?.delete(agentId);
    }
    this.#byAgent.delete(agentId);
  }

  #addTo(byEntry: Map<string, Set<string>>, agentId: string): void {
    for (const entryId of this.getEntriesOf(agentId)) {
      const agents = byEntry.get(entryId) ?? new Set();
      agents.add(agentId);
      byEntry.set(entryId, agents);
    }
  }
}

function createZones(entries: readonly MemberState[]): Zone[] {
  const zones = new Map<string, { id: string; hash: number }[]>();
  for (const { id, zone } of entries) {
    const list = zones.get(zone) ?? [];
    list.push({ id, hash: hasher.h32(id) });
    zones.set(zone, list);
  }
  return [...zones].map(([zone, list]) => ({
    hash: hasher.h32(zone),
    entries: list,
  }));
}

/**
 * Selects from each zone in turn its entry with the highest rank that isn't
 * chosen yet.
 */
function selectEntries(
  agentHash: number,
  zones: readonly Zone[],
  limit: number,
): ReadonlySet<string> {
  const ranked = zones.map(({ hash, entries }) => ({
    rank: getRank(agentHash, hash),
    ids: entries
      .map((entry) => ({
        id: entry.id,
        rank: getRank(agentHash, entry.hash),
      }))
      .sort((a, b) => b.rank - a.rank)
      .slice(0, limit)
      .map(({ id }) => id),
  })).sort((a, b) => b.rank - a.rank);
  const chosen = new Set<string>();
  const rounds = Math.max(0, ...ranked.map(({ ids }) => ids.length));
  for (let round = 0; round < rounds; round++) {
    for (const { ids } of ranked) {
      const id = ids[round];
      if (id !== undefined && chosen.size < limit) {
        chosen.add(id);
      }
    }
  }
  return chosen;
}
