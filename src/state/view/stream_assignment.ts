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
 * Assigns to each agent the entries that hold a stream with credits to it, and
 * so observe it. The entries are chosen by rendezvous hashing, so that a change
 * of one entry moves few streams. They are spread over the zones of the
 * entries, so that after the loss of a zone each agent still has entries.
 */
export class StreamAssignment {
  readonly #options: StreamAssignmentOptions;
  readonly #entriesByAgent = new Map<string, ReadonlySet<string>>();
  /**
   * The agents of each entry; built on the first use after a change of the
   * entries.
   */
  #agentsByEntry: Map<string, Set<string>> | undefined;
  #zones: readonly Zone[] | undefined;
  #entriesPerAgent = 0;

  constructor(options: StreamAssignmentOptions) {
    this.#options = options;
  }

  /** Discards the assignment after the entries have changed. */
  invalidate(): void {
    this.#zones = undefined;
  }

  /** Gets the ids of the entries that use an agent. */
  getEntriesOf(agentId: string): ReadonlySet<string> {
    const { getEntriesPerAgent, getEntries } = this.#options;
    const limit = getEntriesPerAgent();
    if (this.#zones === undefined || this.#entriesPerAgent !== limit) {
      this.#entriesPerAgent = limit;
      this.#zones = createZones(getEntries());
      this.#entriesByAgent.clear();
      this.#agentsByEntry = undefined;
    }
    let chosen = this.#entriesByAgent.get(agentId);
    if (chosen === undefined) {
      chosen = selectEntries(hasher.h32(agentId), this.#zones, limit);
      this.#entriesByAgent.set(agentId, chosen);
    }
    return chosen;
  }

  /** Gets the ids of the agents that an entry uses. */
  getAgentsOf(entryId: string): ReadonlySet<string> {
    if (
      this.#zones === undefined ||
      this.#entriesPerAgent !== this.#options.getEntriesPerAgent() ||
      this.#agentsByEntry === undefined
    ) {
      const agentsByEntry = new Map<string, Set<string>>();
      for (const { id } of this.#options.getAgents()) {
        this.#addToIndex(agentsByEntry, id);
      }
      this.#agentsByEntry = agentsByEntry;
    }
    return this.#agentsByEntry.get(entryId) ?? new Set();
  }

  /** Adds an agent that has joined. */
  addAgent(agentId: string): void {
    if (this.#agentsByEntry !== undefined) {
      this.#addToIndex(this.#agentsByEntry, agentId);
    }
  }

  /** Removes an agent that has left or was removed. */
  removeAgent(agentId: string): void {
    for (const entryId of this.#entriesByAgent.get(agentId) ?? []) {
      this.#agentsByEntry?.get(entryId)?.delete(agentId);
    }
    this.#entriesByAgent.delete(agentId);
  }

  #addToIndex(agentsByEntry: Map<string, Set<string>>, agentId: string): void {
    for (const entryId of this.getEntriesOf(agentId)) {
      const agents = agentsByEntry.get(entryId) ?? new Set();
      agents.add(agentId);
      agentsByEntry.set(entryId, agents);
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
 * Selects entries for an agent: takes from each zone in turn the entry with the
 * highest rank that isn't chosen yet, until the limit is reached.
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
