import { getRank, hasher } from "../hashing/mod.ts";
import type { MemberState } from "../view/mod.ts";
import type { RendezvousCandidate } from "./rendezvous_candidate.ts";

/**
 * The homes under one view. A set is immutable, so the homes before and after a
 * change of the view can be compared.
 */
export class HomeSet {
  readonly #zones: RendezvousCandidate<RendezvousCandidate<MemberState>[]>[];
  readonly #homes = new Map<string, MemberState>();

  /**
   * @param zones - The home agents of each availability zone, with the hashes
   * of the zone names and member ids.
   */
  constructor(
    zones: RendezvousCandidate<RendezvousCandidate<MemberState>[]>[],
  ) {
    this.#zones = zones;
    for (const { value } of zones) {
      for (const home of value) {
        this.#homes.set(home.value.id, home.value);
      }
    }
  }

  /** Gets the home of a key, or undefined when no agent is live. */
  find(key: string): MemberState | undefined {
    const keyHash = hasher.h32(key);
    const homes = findHighest(keyHash, this.#zones);
    return homes === undefined ? undefined : findHighest(keyHash, homes);
  }

  /** Gets all home agents. */
  getHomes(): MemberState[] {
    return [...this.#homes.values()];
  }

  /** Gets the home agents of an availability zone. */
  getZoneHomes(zone: string): MemberState[] {
    return this.getHomes().filter((home) => home.zone === zone);
  }

  /** Returns whether a member is a home agent. */
  has(memberId: string): boolean {
    return this.#homes.has(memberId);
  }

  /**
   * Returns whether both sets contain the same agents, so that every key has
   * the same home in both.
   */
  hasSameHomes(other: HomeSet): boolean {
    return this.#homes.size === other.#homes.size &&
      [...this.#homes.keys()].every((id) => other.has(id));
  }
}

function findHighest<T>(
  keyHash: number,
  candidates: RendezvousCandidate<T>[],
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
