import { hasher } from "../hashing/mod.ts";
import type { ClusterView, MemberState } from "../view/mod.ts";
import type { RendezvousCandidate } from "./rendezvous_candidate.ts";
import { HomeSet } from "./home_set.ts";

/**
 * Number of agents per availability zone that serve as homes, unless set
 * otherwise in the settings.
 */
const DEFAULT_HOMES_PER_ZONE = 64;

/**
 * Finds the home of an idempotency key: the agent that stores the key's claim.
 * Homes are computed from the members by rendezvous hashing, so every process
 * with the same view finds the same home without messages. Hashing selects a
 * zone first and then one of the zone's home agents, so that only a few dozen
 * ranks are computed per key, even with thousands of agents. Computing the home
 * from the members follows "Cluster record locks: the Phase 1 substrate, with
 * Ricart–Agrawala superseded by amortized ownership"; the epoch here is an
 * offset of the log.
 */
export class HomeFinder {
  readonly #view: ClusterView;
  readonly #hashes = new Map<string, number>();
  #memberEpoch = -1;
  #homesPerZone = 0;
  #homeSet = new HomeSet([]);

  constructor(view: ClusterView) {
    this.#view = view;
  }

  /** Gets the offset of the last record that may have changed the homes. */
  get epoch(): number {
    return Math.max(this.#view.epoch, this.#view.revision);
  }

  /** Gets the home of a key, or undefined when no agent is live. */
  find(key: string): MemberState | undefined {
    return this.getHomeSet().find(key);
  }

  /**
   * Gets the homes under the current view. Returns the same object as long as
   * they don't change.
   */
  getHomeSet(): HomeSet {
    const homesPerZone = this.#view.settings.homesPerZone ??
      DEFAULT_HOMES_PER_ZONE;
    if (
      this.#memberEpoch !== this.#view.epoch ||
      this.#homesPerZone !== homesPerZone
    ) {
      this.#memberEpoch = this.#view.epoch;
      this.#homesPerZone = homesPerZone;
      const set = this.#createHomeSet(homesPerZone);
      this.#homeSet = set.hasSameHomes(this.#homeSet) ? this.#homeSet : set;
    }
    return this.#homeSet;
  }

  #createHomeSet(homesPerZone: number): HomeSet {
    const zones = new Map<string, RendezvousCandidate<MemberState>[]>();
    const agents = this.#view.getMembers("agent");
    if (this.#hashes.size > 2 * agents.length) {
      this.#hashes.clear();
    }
    for (const member of agents) {
      if (member.phase === "live") {
        const candidates = zones.get(member.zone) ?? [];
        const hash = this.#getHash(member.id);
        addHighest(candidates, { hash, value: member }, homesPerZone);
        zones.set(member.zone, candidates);
      }
    }
    return new HomeSet(
      [...zones].map(([zone, value]) => ({ hash: hasher.h32(zone), value })),
    );
  }

  /**
   * Gets the hash of a member id from the cache, or computes it. Without the
   * cache, hashing all ids would take most of the time of each change.
   */
  #getHash(id: string): number {
    let hash = this.#hashes.get(id);
    if (hash === undefined) {
      hash = hasher.h32(id);
      this.#hashes.set(id, hash);
    }
    return hash;
  }
}

/**
 * Adds a candidate to a list of those with the highest hashes, in descending
 * order. Once the list is full, most candidates are rejected by one comparison.
 */
function addHighest(
  candidates: RendezvousCandidate<MemberState>[],
  candidate: RendezvousCandidate<MemberState>,
  maxCandidates: number,
): void {
  const lowest = candidates.at(-1);
  const isFull = candidates.length >= maxCandidates;
  if (isFull && lowest !== undefined && candidate.hash <= lowest.hash) {
    return;
  }
  const index = candidates.findIndex(({ hash }) => hash < candidate.hash);
  candidates.splice(index < 0 ? candidates.length : index, 0, candidate);
  if (isFull) {
    candidates.pop();
  }
}
