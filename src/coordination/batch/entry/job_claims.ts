import type { Metrics } from "../../../state/metrics/mod.ts";
import type { JobClaimReply, JobConfirmation } from "../../messages/mod.ts";
import type { EventLog } from "../../ports/mod.ts";
import { BATCH_LIMITS } from "../batch_limits.ts";
import type { ClaimHome } from "./claim_home.ts";
import type { ClaimNeed } from "./claim_need.ts";
import type { JobArrival } from "./job_arrival.ts";
import { findClaimHomes } from "./find_claim_homes.ts";
import { HOME_COUNT } from "./home_count.ts";
import { NO_CLAIM } from "../no_claim.ts";
import { selectHomes } from "./select_homes.ts";
import { StreamRecovery } from "./stream_recovery.ts";

/** `HOME_COUNT` for a job that is as old as `publishAgeMs`. */
const OLD_JOB_HOME_COUNT = 3;

/**
 * Checks without a reply after which another home is asked. Counted, so that a
 * pause of this process is not taken for the silence of a home.
 */
const MAX_CHECKS_WITHOUT_REPLY = 2;

/** Checks after which a job is claimed again that another entry holds. */
const CHECKS_WHILE_HELD = 2;

/**
 * Checks after which the homes of all jobs are selected again when agents have been lost
 * or found: less than an agent needs until it counts as one that knows all claims.
 */
const CHECKS_BETWEEN_SELECTIONS = 10;

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

/** Where a job is claimed: at its homes, or at all agents. */
type ClaimScope = "homes" | "all";

interface OpenClaim {
  readonly jobId: string;
  /** Spec of the job, for agents that wait for a grant. */
  readonly spec: string;
  readonly number: number;
  /** When this entry read the request. */
  readonly openedAt: number;
  /** When the request may have arrived, before a pause of this process. */
  readonly arrivedAt: number;
  readonly homes: Map<string, AskedHome>;
  /** All agents that were asked, also those that are lost since. */
  readonly askedHomes: Set<ClaimHome>;
  scope: ClaimScope;
  /** Whether the job is to be claimed, also while no agent can be reached. */
  isAsked: boolean;
  /** Number of homes that must know of all earlier claims. */
  homeCount: number;
  /** Whether another entry waits for the release of the job. */
  isContested: boolean;
  /** Whether too many homes can't be asked yet, since they may be reached soon. */
  isHomeConnecting: boolean;
  /** When agents were asked last. */
  askedAt: number;
  /** Called when the job may have become placeable. */
  waiters: (() => void)[];
  /** Agents with orders that wait for the grants. */
  waitingAgents: Set<ClaimHome>;
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
 * The claims of this entry. A job is claimed at a few agents, its homes, before its
 * first task is placed, since another entry may have got the same job at any time. The
 * homes tell all entries of it once it is old. Before further tasks of an old job
 * are placed, it is claimed at all agents: one that has runs of a later
 * submission has this entry give the job up, and the others refuse the orders of
 * other entries from then on.
 */
export class JobClaims {
  readonly #options: JobClaimsOptions;
  readonly #getTime: () => number;
  readonly #claims = new Map<string, OpenClaim>();
  /** The agents that could keep claims at the last check, and their streams. */
  #reachable: {
    home: ClaimHome;
    stream: number;
    isReachedByAll: boolean;
  }[] = [];
  /** Largest number of entries that an agent has said to hear. */
  #entryCount = 0;
  #lastNumber = 0;
  /** Whether agents were lost or found since the homes of all jobs were selected. */
  #isSelectionDue = false;
  readonly #streamRecovery = new StreamRecovery();
  #checks = 0;

  constructor(options: JobClaimsOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /**
   * Adds a job that this entry has got from a client.
   * @param arrival - When it came, if it has waited since it was read.
   */
  add(jobId: string, spec: string, arrival?: JobArrival): void {
    const former = this.#claims.get(jobId);
    const now = this.#getTime();
    const { readAt, arrivedAt } = arrival ??
      { readAt: now, arrivedAt: now - this.#options.getLongestWaitMs() };
    this.#claims.set(jobId, {
      jobId,
      spec,
      number: ++this.#lastNumber,
      openedAt: readAt,
      arrivedAt,
      homes: new Map(),
      // The former claim stands while runs of it may be executing.
      askedHomes: new Set(former?.askedHomes),
      scope: "homes",
      isHomeConnecting: false,
      isAsked: false,
      homeCount: HOME_COUNT,
      isContested: false,
      askedAt: now,
      waiters: [],
      waitingAgents: new Set(),
    });
    former?.waiters.forEach((resolve) => resolve());
  }

  /** Gets the time since a job may have arrived, in milliseconds; 0 if it is unknown. */
  getAgeMs(jobId: string): number {
    const claim = this.#claims.get(jobId);
    return claim === undefined ? 0 : this.#getTime() - claim.arrivedAt;
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
    if (this.#isOld(claim) && claim.scope !== "all") {
      this.#claimEverywhere(claim);
    }
    return hasAllGrants(claim) && this.#hasProof(claim) &&
      !(claim.scope === "all" && this.#streamRecovery.isRecovering);
  }

  /**
   * Returns whether orders of a job may be sent together with its claim: the agents
   * that get them wait for the grants.
   */
  canClaimWithOrders(jobId: string): boolean {
    const claim = this.#claims.get(jobId);
    if (
      claim === undefined || claim.askedHomes.size > 0 || this.#isOld(claim)
    ) {
      return false;
    }
    // Without an agent in reach there is nothing to place, and the job is refused.
    return this.#selectHomes(claim).every(({ canKeepClaims }) => canKeepClaims);
  }

  /**
   * Claims a job for orders that are about to be sent to agents, unless the homes have
   * granted it. Returns what these agents must wait for.
   */
  claimFor(jobId: string, agents: readonly ClaimHome[]): ClaimNeed {
    const claim = this.#claims.get(jobId);
    if (claim === undefined || this.canPlace(jobId)) {
      return { claimNumber: 0, awaitedHomes: 0 };
    }
    this.#askHomes(claim, agents.map(({ address }) => address));
    // Agents that are not told of enough grants ask this entry to confirm the claim.
    const awaitedHomes = Math.max(1, claim.homes.size);
    return { claimNumber: claim.number, awaitedHomes };
  }

  /** Asks the homes of a job for the replies that they may keep back. */
  requestReplies(jobId: string): void {
    for (
      const { home, state } of this.#claims.get(jobId)?.homes.values() ?? []
    ) {
      if (state === "asked") {
        home.requestClaimReplies();
      }
    }
  }

  /** Confirms a claim to an agent as soon as all homes have granted it. */
  handleConfirmationRequest(
    agent: ClaimHome,
    { jobId, number }: JobConfirmation,
  ): void {
    const claim = this.#claims.get(jobId);
    if (claim?.number === number) {
      claim.waitingAgents.add(agent);
      this.#notifyWaiting(claim);
    }
  }

  #notifyWaiting(claim: OpenClaim): void {
    const { jobId, number, spec, waiters, waitingAgents } = claim;
    if (waitingAgents.size > 0 && this.canPlace(jobId)) {
      waitingAgents.forEach((agent) =>
        agent.confirmJob({ jobId, number, spec })
      );
      waitingAgents.clear();
    }
    if (waiters.length > 0) {
      claim.waiters = [];
      waiters.forEach((resolve) => resolve());
    }
  }

  /** Waits until tasks of a job may be placed, or until `signal` is aborted. */
  async wait(jobId: string, signal: AbortSignal): Promise<void> {
    const added = this.#claims.get(jobId);
    if (added?.scope === "homes") {
      this.#askHomes(added);
    }
    while (!signal.aborted && !this.canPlace(jobId)) {
      await new Promise<void>((resolve) => {
        const claim = this.#claims.get(jobId);
        claim === undefined ? resolve() : claim.waiters.push(resolve);
      });
    }
  }

  #isOld({ openedAt }: OpenClaim): boolean {
    return this.#getTime() - openedAt >= BATCH_LIMITS.claimAgeMs;
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
    for (const { home, stream, state } of claim.homes.values()) {
      if (
        state === "granted" && home.streamNumber === stream &&
        home.proofAgeMs < BATCH_LIMITS.entryTimeoutMs
      ) {
        return true;
      }
    }
    return false;
  }

  /** Releases a job of which no run can be executing any more. */
  release(jobId: string): void {
    const claim = this.#claims.get(jobId);
    this.#claims.delete(jobId);
    if (claim !== undefined) {
      releaseHomes(claim);
    }
    claim?.waiters.forEach((resolve) => resolve());
  }

  /** Records that another entry waits for the release of a job. */
  recordContest(jobId: string): void {
    const claim = this.#claims.get(jobId);
    if (claim !== undefined) {
      claim.isContested = true;
    }
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
        if (hasAllGrants(claim)) {
          this.#recordWait(claim);
          this.#notifyWaiting(claim);
        }
        return;
      default:
        reply.outcome satisfies never;
    }
  }

  /** Records how long placements have waited for grants, if any have. */
  #recordWait(claim: OpenClaim): void {
    if (claim.waiters.length === 0 && claim.scope !== "all") {
      return;
    }
    const waitedMs = this.#getTime() - claim.askedAt;
    this.#options.metrics.recordTime("claim", waitedMs);
    if (waitedMs >= LOGGED_WAIT_MS) {
      this.#options.log.record("job_claim_waited", {
        job: claim.jobId,
        waitedMs: Math.round(waitedMs),
        jobAgeMs: Math.round(this.getAgeMs(claim.jobId)),
        agents: claim.homes.size,
      });
    }
  }

  /** Replaces homes that are lost. Called once in each `linkCheckIntervalMs`. */
  runPeriodicChecks(): void {
    this.#entryCount = 0;
    for (const { entryCount } of this.#options.getHomes()) {
      this.#entryCount = Math.max(this.#entryCount, entryCount);
    }
    if (this.#claims.size === 0) {
      return;
    }
    const isNeedHigher = this.#reachable.some(({ home, isReachedByAll }) =>
      isReachedByAll && !this.#isReachedByAll(home)
    );
    const haveHomesChanged = this.#updateReachable();
    this.#isSelectionDue ||= haveHomesChanged;
    this.#checks++;
    const selectsAgain = this.#isSelectionDue &&
      this.#checks % CHECKS_BETWEEN_SELECTIONS === 0;
    this.#isSelectionDue &&= !selectsAgain;
    for (const claim of this.#claims.values()) {
      if (
        claim.isAsked &&
        (this.#checkReplies(claim) || selectsAgain || isNeedHigher ||
          (haveHomesChanged && claim.scope === "all") ||
          claim.isHomeConnecting || claim.homes.size === 0 ||
          this.#publishOldJob(claim))
      ) {
        this.#askHomes(claim);
      }
      this.#notifyWaiting(claim);
    }
  }

  /** Returns whether a job has become so old that it needs another home. */
  #publishOldJob(claim: OpenClaim): boolean {
    const isDue = claim.homeCount === HOME_COUNT &&
      this.getAgeMs(claim.jobId) >= BATCH_LIMITS.publishAgeMs;
    if (isDue) {
      claim.homeCount = OLD_JOB_HOME_COUNT;
    }
    return isDue;
  }

  /** Returns whether other agents, or others of their streams, are usable now. */
  #updateReachable(): boolean {
    const former = this.#reachable;
    const known = this.#options.getHomes();
    const homes = known.filter((home) => home.canKeepClaims);
    this.#streamRecovery.update(homes.length, known.length);
    this.#reachable = homes.map((home) => ({
      home,
      stream: home.streamNumber,
      isReachedByAll: this.#isReachedByAll(home),
    }));
    return former.length !== this.#reachable.length ||
      this.#reachable.some(({ home, stream }, index) =>
        former[index]?.home !== home || former[index]?.stream !== stream
      );
  }

  /** Returns whether an agent hears as many entries as any other one. */
  #isReachedByAll({ entryCount }: ClaimHome): boolean {
    return entryCount >= this.#entryCount;
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
  #askHomes(claim: OpenClaim, notify: string[] = []): void {
    claim.isHomeConnecting = false;
    claim.isAsked = true;
    let spec = notify.length > 0 ? claim.spec : undefined;
    let hasAsked = false;
    const homes = this.#selectHomes(claim);
    const [decidingHome] = selectHomes(claim.jobId, homes, 1);
    for (const home of homes) {
      if (claim.homes.has(home.agentId)) {
        continue;
      }
      if (!home.canKeepClaims) {
        claim.isHomeConnecting = true;
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
        ageMs: Math.round(this.getAgeMs(claim.jobId)),
        isDeciding: home === decidingHome,
        notify,
        spec,
      });
      spec = undefined;
      hasAsked = true;
    }
    if (hasAsked) {
      this.#recordMissingHomes(claim, homes);
    }
  }

  /**
   * Logs the agents that would be homes of a job if this entry reached all that it
   * knows: another entry may claim the job there, and not at the homes of this one.
   */
  #recordMissingHomes(claim: OpenClaim, homes: readonly ClaimHome[]): void {
    const known = this.#options.getHomes();
    if (
      claim.scope === "all" ||
      known.every(({ canKeepClaims }) => canKeepClaims)
    ) {
      return;
    }
    const missing = selectHomes(claim.jobId, known, homes.length)
      .filter((home) => !homes.includes(home));
    if (missing.length > 0) {
      this.#options.log.record("job_homes_missing", {
        job: claim.jobId,
        missing: missing.map(({ agentId }) => agentId),
        homes: homes.map(({ agentId }) => agentId),
        jobAgeMs: Math.round(this.getAgeMs(claim.jobId)),
      });
    }
  }

  #selectHomes(claim: OpenClaim): readonly ClaimHome[] {
    switch (claim.scope) {
      case "homes": {
        const known = this.#options.getHomes();
        const homes = claim.homes.size === 0
          ? known
          : known.filter(({ agentId }) =>
            claim.homes.get(agentId)?.state !== "silent"
          );
        const { jobId, homeCount } = claim;
        return findClaimHomes({
          ...{ jobId, homes, homeCount },
          isReachedByAll: (home) => this.#isReachedByAll(home),
        });
      }
      case "all":
        return this.#options.getHomes().filter((home) => home.canKeepClaims);
      default:
        return claim.scope satisfies never;
    }
  }
}

function releaseHomes({ jobId, askedHomes, isContested }: OpenClaim): void {
  const canWait = !isContested;
  askedHomes.forEach((home) => home.releaseJobs([jobId], { canWait }));
}

/**
 * Returns whether all agents that were asked have granted the job. A home that has not
 * replied in time may be left out if enough others have granted it.
 */
function hasAllGrants({ homes, scope, isHomeConnecting }: OpenClaim): boolean {
  let grantedCount = 0;
  for (const { state } of homes.values()) {
    if (state === "granted") {
      grantedCount++;
    } else if (scope === "all" || state !== "silent") {
      return false;
    }
  }
  return !isHomeConnecting && grantedCount > 0 &&
    (grantedCount === homes.size || grantedCount >= HOME_COUNT);
}
