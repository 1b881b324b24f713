/**
 * Decides at which agents an entry claims a job. Any two entries that get the job must
 * ask a home in common that remembers the first claim, whichever agents either of them
 * reaches; docs/platform.md derives the rules.
 */
import { getClaimMemoryMs } from "../get_claim_memory_ms.ts";
import type { ClaimHome } from "./claim_home.ts";
import { HOME_COUNT } from "./home_count.ts";
import { selectHomes } from "./select_homes.ts";

/** Largest number of homes, with those of which the process has just started. */
const MAX_HOME_COUNT = 3;

/** The same with those that another entry doesn't reach. */
const MAX_RANKED_COUNT = 6;

/**
 * Number of the highest-ranking agents of which two must be homes: any two entries that
 * know the same agents then have one in common.
 */
const QUORUM_RANKS = 3;

export interface FindClaimHomesOptions {
  jobId: string;
  /** The agents to select from. */
  homes: readonly ClaimHome[];
  /** Number of homes that must know of all earlier claims. */
  homeCount: number;
  /** Returns whether an agent hears as many entries as any other one. */
  isReachedByAll: (home: ClaimHome) => boolean;
}

/**
 * Finds the homes of a job. Those that can't be asked now are included while the job
 * has to wait for them.
 */
export function findClaimHomes(
  options: FindClaimHomesOptions,
): ClaimHome[] {
  const { jobId, homes, isReachedByAll } = options;
  const candidates = homes.filter((home) =>
    home.canKeepClaims || home.isConnecting
  );
  const maxCount = candidates.every(isReachedByAll)
    ? MAX_HOME_COUNT
    : MAX_RANKED_COUNT;
  const ranked = selectHomes(jobId, candidates, maxCount);
  const selected = ranked.slice(0, countNeededHomes(ranked, options));
  const lost = selected.some(hasClaimMemory)
    ? []
    : homes.filter(canHaveLostRuns);
  const missing = findMissingHomes(jobId, homes);
  return missing.length === 0 && lost.length === 0
    ? selected
    : [...new Set([...selected, ...missing, ...lost])];
}

/**
 * Counts the homes in order of their rank until enough of them are reached by all
 * entries and know of all earlier claims.
 */
function countNeededHomes(
  ranked: readonly ClaimHome[],
  { homeCount, isReachedByAll }: FindClaimHomesOptions,
): number {
  let rememberingCount = 0;
  let reachedByAllCount = 0;
  for (const [index, home] of ranked.entries()) {
    if (home.canKeepClaims && !isReachedByAll(home)) {
      continue;
    }
    reachedByAllCount++;
    rememberingCount += hasClaimMemory(home) ? 1 : 0;
    if (
      rememberingCount === homeCount || reachedByAllCount === MAX_HOME_COUNT
    ) {
      return index + 1;
    }
  }
  return ranked.length;
}

/** Returns whether an agent knows of each job that has it as a home. */
function hasClaimMemory(home: ClaimHome): boolean {
  return home.uptimeMs >= getClaimMemoryMs();
}

/**
 * Returns whether runs may go on at the worker of an agent that this entry has lost.
 * While no home has a memory of claims, nothing else tells of the job of such a run.
 */
function canHaveLostRuns(home: ClaimHome): boolean {
  return home.isInDoubt && home.hasBeenReached;
}

/**
 * Finds the agents that another entry may have chosen as the homes of a job, and of
 * which this one doesn't reach enough to have a home in common with it.
 */
function findMissingHomes(
  jobId: string,
  homes: readonly ClaimHome[],
): ClaimHome[] {
  if (!homes.some(({ isInDoubt }) => isInDoubt)) {
    return [];
  }
  const candidates = homes.filter((home) =>
    home.canKeepClaims || home.isConnecting || home.isInDoubt
  );
  const ranked = selectHomes(jobId, candidates, QUORUM_RANKS);
  const missing = ranked.filter(({ canKeepClaims }) => !canKeepClaims);
  return missing.length <= QUORUM_RANKS - HOME_COUNT
    ? []
    : missing.filter(({ isConnecting }) => !isConnecting);
}
