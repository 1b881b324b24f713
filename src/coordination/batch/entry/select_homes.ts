import { getRank, hasher } from "../../../state/hashing/mod.ts";
import type { ClaimHome } from "./claim_home.ts";

/** Hashes of the names of agents; an entry knows them for as long as it runs. */
const hashes = new Map<string, number>();

/**
 * Selects the homes of a job by rendezvous hashing of its id. Two entries that
 * each can't reach another one of the agents still have a home in common.
 * @param homes - The agents to select from.
 * @param count - Number of homes, if there are as many agents.
 */
export function selectHomes(
  jobId: string,
  homes: readonly ClaimHome[],
  count: number,
): ClaimHome[] {
  const keyHash = hasher.h32(jobId);
  const ranked: { home: ClaimHome; rank: number }[] = [];
  for (const home of homes) {
    const rank = getRank(keyHash, getHash(home.agentId));
    const last = ranked[count - 1];
    if (last === undefined || rank > last.rank) {
      // Inserted in order: a sort of so few items costs more than all of their ranks.
      if (ranked.length === count) {
        ranked.pop();
      }
      let index = ranked.length;
      while (index > 0 && (ranked[index - 1]?.rank ?? Infinity) < rank) {
        index--;
      }
      ranked.splice(index, 0, { home, rank });
    }
  }
  return ranked.map(({ home }) => home);
}

function getHash(agentId: string): number {
  let hash = hashes.get(agentId);
  if (hash === undefined) {
    hash = hasher.h32(agentId);
    hashes.set(agentId, hash);
  }
  return hash;
}
