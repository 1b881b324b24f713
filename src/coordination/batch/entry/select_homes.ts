import { getRank, hasher } from "../../../state/hashing/mod.ts";
import type { ClaimHome } from "./claim_home.ts";

/** Hashes of the names of agents; an entry knows them for as long as it runs. */
const hashes = new Map<string, number>();

/**
 * Selects homes of a job by rendezvous hashing of its id, so that all entries
 * find the same ones without messages. Agents in other availability zones than
 * those of the kept homes go first.
 * @param homes - The agents to select from.
 * @param kept - Homes that the job already has.
 */
export function selectHomes(
  jobId: string,
  { homes, kept, count }: {
    homes: readonly ClaimHome[];
    kept: readonly ClaimHome[];
    count: number;
  },
): ClaimHome[] {
  const keyHash = hasher.h32(jobId);
  const selected: ClaimHome[] = [];
  const zones = new Set(kept.map(({ zone }) => zone));
  while (selected.length < count) {
    let best: ClaimHome | undefined;
    let bestRank = -1;
    for (const home of homes) {
      if (kept.includes(home) || selected.includes(home)) {
        continue;
      }
      // Ranks have 32 bits; a new zone outranks all of them.
      const rank = getRank(keyHash, getHash(home.agentId)) +
        (zones.has(home.zone) ? 0 : 2 ** 32);
      if (rank > bestRank) {
        bestRank = rank;
        best = home;
      }
    }
    if (best === undefined) {
      break;
    }
    selected.push(best);
    zones.add(best.zone);
  }
  return selected;
}

function getHash(agentId: string): number {
  let hash = hashes.get(agentId);
  if (hash === undefined) {
    hash = hasher.h32(agentId);
    hashes.set(agentId, hash);
  }
  return hash;
}
