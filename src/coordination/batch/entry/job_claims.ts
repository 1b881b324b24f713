import type { Metrics } from "../../../state/metrics/mod.ts";
import type { JobClaimReply } from "../../messages/mod.ts";
import type { EventLog } from "../../ports/mod.ts";
import { BATCH_LIMITS } from "../batch_limits.ts";
import type { ClaimHome } from "./claim_home.ts";
import { NO_CLAIM } from "../no_claim.ts";
import { selectHomes } from "./select_homes.ts";

/** Number of homes of a job, so that another entry hears of it from one. */
const HOME_COUNT = 3;

/**
 * Checks without a reply after which another home is asked. Counted, so that a
 * pause of this process is not taken for the silence of a home.
 */
const MAX_CHECKS_WITHOUT_REPLY = 2;

/** Checks after which a job is claimed again that another entry holds. */
const CHECKS_WHILE_HELD = 5;

/** Waits for a claim that take longer are logged, in milliseconds. */
const LOGGED_WAIT_MS = 20;

interface AskedHome {
  readonly home: ClaimHome;
  /** Number of the stream on which the home was asked. */
  readonly stream: number;
  /** `silent`: it has not replied in time; a later reply still counts. */
  state: "asked" | "silent" | "held" | "granted";
  checks: number;
}

/**
 * Where a job is claimed: nowhere while its client can't have sent it to another
 * entry, then at its homes, and at all agents before tasks of it are placed.
 */
type ClaimScope = "none" | "homes" | "all";

interface OpenClaim {
  readonly jobId: string;
  readonly number: number;
  readonly openedAt: number;
  readonly homes: Map<string, AskedHome>;
  /** All agents that were asked, also those that are lost since. */
  readonly askedHomes: Set<ClaimHome>;
  scope: ClaimScope;
  /** When agents were asked last. */
  askedAt: number;
}

export interface JobClaimsOptions {
  log: EventLog;
  metrics: Metrics;
  /** Gets the agents that this entry knows. */
  getHomes: () => readonly ClaimHome[];
  /**
   * Gets the longest time for which a request that is handled now can have waited
   * for this process, in milliseconds.
   */
  getLongestWaitMs: () => number;
  getTime?: () => number;
}

/**
 * The claims of this entry. A client sends a job to another entry no sooner than
 * 1.3 s after the first submission, so a job younger than `claimAgeMs`
 * needs no claim. An older one is claimed at a few agents, its homes, which tell all
 * entries of it. Before tasks of an older job are placed, it is claimed at all
 * agents: one that has runs of a later submission has this entry give the
 * job up, and the others refuse the orders of other entries from then on.
 */
export class JobClaims {
  readonly #options: JobClaimsOptions;
  readonly #getTime: () => number;
  readonly #claims = new Map<string, OpenClaim>();
  /** The agents that could keep claims at the last check, and their streams. */
  #reachable: { home: ClaimHome; stream: number }[] = [];
  #lastNumber = 0;

  constructor(options: JobClaimsOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** Adds a job that this entry has just got from a client. */
  add(jobId: string): void {
    const former = this.#claims.get(jobId);
    this.#claims.set(jobId, {
      jobId,
      number: ++this.#lastNumber,
      openedAt: this.#getTime() - this.#options.getLongestWaitMs(),
      homes: new Map(),
      askedHomes: new Set(),
      scope: "none",
      askedAt: 0,
    });
    former?.askedHomes.forEach((home) => home.releaseJobs([jobId]));
  }

  /**
   * Returns whether tasks of a job may be placed now. If not, asks for what is
   * missing; the job is cancelled if another entry has a later submission of it.
   */
  canPlace(jobId: string): boolean {
    const claim = this.#claims.get(jobId);
    if (claim === undefined) {
      return false;
    }
    if (claim.scope !== "all") {
      if (this.#getAgeMs(claim) < BATCH_LIMITS.claimAgeMs) {
        return true;
      }
      this.#claimEverywhere(claim);
    }
    return hasAllGrants(claim) && this.#hasProof(claim);
  }

  #claimEverywhere(claim: OpenClaim): void {
    claim.scope = "all";
    this.#askHomes(claim);
  }

  /**
   * Returns whether another entry can't have got the job meanwhile: an agent has
   * acknowledged a recent frame on the stream of the claim, and would have sent
   * the end of the claim before that.
   */
  #hasProof(claim: OpenClaim): boolean {
    return [...claim.homes.values()].some(({ home, stream, state }) =>
      state === "granted" && home.streamNumber === stream &&
      home.proofAgeMs < BATCH_LIMITS.entryTimeoutMs
    );
  }

  /** Releases a job of which no run can be executing any more. */
  release(jobId: string): void {
    const claim = this.#claims.get(jobId);
    this.#claims.delete(jobId);
    claim?.askedHomes.forEach((home) => home.releaseJobs([jobId]));
  }

  handleReply(home: ClaimHome, reply: JobClaimReply): void {
    const claim = this.#claims.get(reply.jobId);
    if (claim !== undefined && reply.number === NO_CLAIM) {
      this.#claimEverywhere(claim);
      return;
    }
    const asked = claim?.homes.get(home.agentId);
    if (
      claim === undefined || asked === undefined ||
      claim.number !== reply.number || asked.stream !== home.streamNumber
    ) {
      return;
    }
    asked.state = reply.outcome;
    switch (reply.outcome) {
      case "held":
        this.#options.log.record("job_claim_held", {
          job: reply.jobId,
          holder: reply.holder,
          home: home.agentId,
        });
        return;
      case "granted":
        if (claim.scope === "all" && hasAllGrants(claim)) {
          this.#recordWait(claim);
        }
        return;
      default:
        reply.outcome satisfies never;
    }
  }

  #getAgeMs({ openedAt }: OpenClaim): number {
    return this.#getTime() - openedAt;
  }

  #recordWait(claim: OpenClaim): void {
    const waitedMs = this.#getTime() - claim.askedAt;
    this.#options.metrics.recordTime("claim", waitedMs);
    if (waitedMs >= LOGGED_WAIT_MS) {
      this.#options.log.record("job_claim_waited", {
        job: claim.jobId,
        waitedMs: Math.round(waitedMs),
        jobAgeMs: Math.round(this.#getAgeMs(claim)),
        agents: claim.homes.size,
      });
    }
  }

  /** Claims the jobs that have become old. Called every 20 ms or so. */
  runPeriodicChecks(): void {
    let haveHomesChanged: boolean | undefined;
    for (const claim of this.#claims.values()) {
      const isDue = claim.scope === "none" &&
        this.#getAgeMs(claim) >= BATCH_LIMITS.publishAgeMs;
      if (isDue) {
        claim.scope = "homes";
      }
      if (claim.scope === "none") {
        continue;
      }
      haveHomesChanged ??= this.#updateReachable();
      if (this.#checkReplies(claim) || haveHomesChanged || isDue) {
        this.#askHomes(claim);
      }
    }
  }

  /** Returns whether other agents, or others of their streams, are usable now. */
  #updateReachable(): boolean {
    const former = this.#reachable;
    this.#reachable = this.#options.getHomes()
      .filter((home) => home.canKeepClaims)
      .map((home) => ({ home, stream: home.streamNumber }));
    return former.length !== this.#reachable.length ||
      this.#reachable.some(({ home, stream }, index) =>
        former[index]?.home !== home || former[index]?.stream !== stream
      );
  }

  /**
   * Checks whether the homes of a job are lost or don't reply.
   * @returns Whether others have to be asked instead.
   */
  #checkReplies(claim: OpenClaim): boolean {
    let hasChanged = false;
    for (const [agentId, asked] of claim.homes) {
      const { home, stream } = asked;
      if (home.streamNumber !== stream || !home.canKeepClaims) {
        claim.homes.delete(agentId);
        hasChanged = true;
      } else if (asked.state === "asked" || asked.state === "held") {
        asked.checks++;
        hasChanged = this.#checkPending(claim, agentId, asked) || hasChanged;
      }
    }
    return hasChanged;
  }

  /** Returns whether an agent that has not granted a job is to be replaced. */
  #checkPending(
    claim: OpenClaim,
    agentId: string,
    asked: AskedHome,
  ): boolean {
    if (asked.state === "held" && asked.checks >= CHECKS_WHILE_HELD) {
      claim.homes.delete(agentId);
      return true;
    }
    if (asked.state === "asked" && asked.checks >= MAX_CHECKS_WITHOUT_REPLY) {
      asked.state = "silent";
      return true;
    }
    return false;
  }

  /** Claims the job at those agents that have not been asked yet. */
  #askHomes(claim: OpenClaim): void {
    for (const home of this.#selectHomes(claim)) {
      if (claim.homes.has(home.agentId)) {
        continue;
      }
      claim.askedAt = this.#getTime();
      claim.askedHomes.add(home);
      claim.homes.set(home.agentId, {
        home,
        stream: home.streamNumber,
        state: "asked",
        checks: 0,
      });
      home.claimJob({
        jobId: claim.jobId,
        number: claim.number,
        ageMs: Math.round(this.#getAgeMs(claim)),
      });
    }
  }

  #selectHomes(claim: OpenClaim): readonly ClaimHome[] {
    const reachable = this.#options.getHomes()
      .filter((home) => home.canKeepClaims);
    switch (claim.scope) {
      case "none":
        return [];
      case "homes": {
        const candidates = reachable.filter((home) =>
          claim.homes.get(home.agentId)?.state !== "silent"
        );
        return selectHomes(claim.jobId, candidates, HOME_COUNT);
      }
      case "all":
        return reachable;
      default:
        return claim.scope satisfies never;
    }
  }
}

/** Returns whether all agents that can be reached have granted the job. */
function hasAllGrants({ homes }: OpenClaim): boolean {
  return homes.size > 0 &&
    [...homes.values()].every(({ state }) => state === "granted");
}
