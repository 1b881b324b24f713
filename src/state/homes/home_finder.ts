import { getRank, hasher } from "../hashing/mod.ts";
import type { ClusterView, MemberState } from "../view/mod.ts";

/** Agents of a zone that serve as homes where the settings don't say otherwise. */
const DEFAULT_HOMES_PER_ZONE = 64;

interface Candidate<T> {
  readonly hash: number;
  readonly value: T;
}

/**
 * Finds the home of an idempotency key: the agent that keeps the key's claim. Homes are derived from the
 * members, so every process with the same view finds the same home without a message. The key first
 * chooses a zone and then one of the zone's home agents, so a key costs a few dozen ranks also with
 * thousands of agents. The derived home follows "Cluster record locks: the Phase 1 substrate, with
 * Ricart–Agrawala superseded by amortized ownership"; the epoch here is an offset of the log.
 */
export class HomeFinder {
  readonly #view: ClusterView;
  #epoch = -1;
  #revision = -1;
  #zones: Candidate<Candidate<MemberState>[]>[] = [];

  constructor(view: ClusterView) {
    this.#view = view;
  }

  /** Gets the home of a key, or undefined when no agent is live. */
  find(key: string): MemberState | undefined {
    this.#refresh();
    const keyHash = hasher.h32(key);
    const homes = findHighest(keyHash, this.#zones);
    return homes === undefined ? undefined : findHighest(keyHash, homes);
  }

  /** Gets every agent that is the home of some keys. */
  getHomes(): MemberState[] {
    this.#refresh();
    return this.#zones.flatMap((zone) => zone.value.map((home) => home.value));
  }

  #refresh(): void {
    if (
      this.#epoch === this.#view.epoch && this.#revision === this.#view.revision
    ) {
      return;
    }
    this.#epoch = this.#view.epoch;
    this.#revision = this.#view.revision;
    const limit = this.#view.settings.homesPerZone ?? DEFAULT_HOMES_PER_ZONE;
    const zones = new Map<string, Candidate<MemberState>[]>();
    for (const member of this.#view.getMembers("agent")) {
      if (member.phase === "live") {
        const candidates = zones.get(member.zone) ?? [];
        candidates.push({ hash: hasher.h32(member.id), value: member });
        zones.set(member.zone, candidates);
      }
    }
    this.#zones = [...zones].map(([zone, candidates]) => ({
      hash: hasher.h32(zone),
      value: candidates.sort((a, b) => b.hash - a.hash).slice(0, limit),
    }));
  }
}

function findHighest<T>(
  keyHash: number,
  candidates: Candidate<T>[],
): T | undefined {
  let best: T | undefined;
  let bestRank = -1;
  for (const candidate of candidates) {
    const rank = getRank(keyHash, candidate.hash);
    if (rank > bestRank) {
      bestRank = rank;
      best = candidate.value;
    }
  }
  return best;
}
