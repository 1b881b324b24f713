import { hasher } from "../hashing/mod.ts";
import type { ClusterView, MemberState } from "../view/mod.ts";
import type { RendezvousCandidate } from "./rendezvous_candidate.ts";
import { HomeSet } from "./home_set.ts";

/**
 * Agents of a zone that serve as homes where the settings don't say otherwise.
 */
const DEFAULT_HOMES_PER_ZONE = 64;

/**
 * Finds the home of an idempotency key: the agent that keeps the key's claim.
 * Homes are derived from the members, so every process with the same view finds
 * the same home without a message. The key first chooses a zone and then one of
 * the zone's home agents, so a key costs a few dozen ranks also with thousands
 * of agents. The derived home follows "Cluster record locks: the Phase 1
 * substrate, with Ricart–Agrawala superseded by amortized ownership"; the epoch
 * here is an offset of the log.
 */
export class HomeFinder {
  readonly #view: ClusterView;
  readonly #hashes = new Map<string, number>();
  #memberEpoch = -1;
  #limit = 0;
  #set = new HomeSet([]);

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
   * Gets the homes under the current view; the same object as long as they
   * don't change.
   */
  getHomeSet(): HomeSet {
    const limit = this.#view.settings.homesPerZone ?? DEFAULT_HOMES_PER_ZONE;
    if (this.#memberEpoch !== this.#view.epoch || this.#limit !== limit) {
      this.#memberEpoch = this.#view.epoch;
      this.#limit = limit;
      const set = this.#createSet(limit);
      this.#set = set.hasSameHomes(this.#set) ? this.#set : set;
    }
    return this.#set;
  }

  #createSet(limit: number): HomeSet {
    const zones = new Map<string, RendezvousCandidate<MemberState>[]>();
    const agents = this.#view.getMembers("agent");
    if (this.#hashes.size > 2 * agents.length) {
      this.#hashes.clear();
    }
    for (const member of agents) {
      if (member.phase === "live") {
        const candidates = zones.get(member.zone) ?? [];
        const hash = this.#getHash(member.id);
        addHighest(candidates, { hash, value: member }, limit);
        zones.set(member.zone, candidates);
      }
    }
    return new HomeSet(
      [...zones].map(([zone, value]) => ({ hash: hasher.h32(zone), value })),
    );
  }

  /**
   * Gets the hash of a member id. Hashing all ids again at each change would
   * take most of its time.
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
 * Adds a candidate to those with the highest hashes, which are sorted; most of
 * many are dropped at once.
 */
function addHighest(
  candidates: RendezvousCandidate<MemberState>[],
  candidate: RendezvousCandidate<MemberState>,
  limit: number,
): void {
  const lowest = candidates.at(-1);
  const isFull = candidates.length >= limit;
  if (isFull && lowest !== undefined && candidate.hash <= lowest.hash) {
    return;
  }
  const index = candidates.findIndex(({ hash }) => hash < candidate.hash);
  candidates.splice(index < 0 ? candidates.length : index, 0, candidate);
  if (isFull) {
    candidates.pop();
  }
}
