import type { Metrics } from "../../../state/metrics/mod.ts";
import type { JobClaimReply } from "../../messages/mod.ts";
import type { EventLog } from "../../ports/mod.ts";
import { BATCH_LIMITS } from "../batch_limits.ts";
import { getClaimExpiryMs } from "../get_claim_expiry_ms.ts";
import type { ClaimHome } from "./claim_home.ts";
import { selectHomes } from "./select_homes.ts";

/** Number of homes of a job: one may fail without the claim being lost. */
const HOME_COUNT = 2;

/** Interval of the checks of all claims, in milliseconds. */
const CHECK_INTERVAL_MS = 20;

/**
 * Checks without a reply after which another home is asked. Counted, so that a
 * pause of this process is not taken for the silence of a home.
 */
const MAX_CHECKS_WITHOUT_REPLY = 2;

/** Waits for a claim that take longer are logged, in milliseconds. */
const LOGGED_WAIT_MS = 20;

interface AskedHome {
  readonly home: ClaimHome;
  /** Number of the stream on which the home was asked. */
  readonly stream: number;
  /** `silent`: it has not replied in time; a later reply still counts. */
  state: "asked" | "silent" | "held" | "granted";
  checks: number;
  /** Whether it was asked instead of a home that is lost or doesn't reply. */
  isReplacement: boolean;
  /**
   * Checks left until a holder's runs have ended that was known to a home which
   * is lost since; undefined while the home is not lost.
   */
  checksToExpiry: number | undefined;
}

interface OpenClaim {
  readonly jobId: string;
  readonly number: number;
  readonly claimedAt: number;
  readonly homes: Map<string, AskedHome>;
  /** Whether the wait for the claim has ended, so that runs may have started. */
  isTaken: boolean;
  notify: () => void;
}

export interface JobClaimsOptions {
  log: EventLog;
  metrics: Metrics;
  /** Gets the agents that this entry knows. */
  getHomes: () => readonly ClaimHome[];
  getTime?: () => number;
}

/**
 * The claims of this entry: a job may be placed only by the entry that its homes
 * name. A claim is made before the first run, and costs one round trip. Whenever
 * other agents can be reached than before, it is renewed at those that are now
 * the job's homes, where another entry would claim the job.
 */
export class JobClaims {
  readonly #options: JobClaimsOptions;
  readonly #getTime: () => number;
  readonly #claims = new Map<string, OpenClaim>();
  /** The agents that could keep claims at the last check, and their streams. */
  #reachable: { home: ClaimHome; stream: number }[] = [];
  #lastNumber = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: JobClaimsOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  start(): void {
    this.#timer = setInterval(
      () => this.#runPeriodicChecks(),
      CHECK_INTERVAL_MS,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Claims a job, and waits until this entry may place it, or until `signal` is
   * aborted. Another entry that holds it is asked to stop it.
   */
  async claim(jobId: string, signal: AbortSignal): Promise<void> {
    const claim: OpenClaim = {
      jobId,
      number: ++this.#lastNumber,
      claimedAt: this.#getTime(),
      homes: new Map(),
      isTaken: false,
      notify: () => {},
    };
    const former = this.#claims.get(jobId);
    this.#claims.set(jobId, claim);
    this.#askHomes(claim);
    for (const [agentId, { home }] of former?.homes ?? []) {
      if (!claim.homes.has(agentId)) {
        home.releaseJobs([jobId]);
      }
    }
    const stopWaiting = () => claim.notify();
    signal.addEventListener("abort", stopWaiting, { once: true });
    while (!signal.aborted && !isGranted(claim)) {
      await new Promise<void>((resolve) => claim.notify = resolve);
    }
    signal.removeEventListener("abort", stopWaiting);
    claim.isTaken = true;
    this.#recordWait(claim, signal.aborted);
  }

  /**
   * Returns whether a home of the job has certainly not granted it to another
   * entry: it has acknowledged a recent frame on the stream of the claim, and
   * would have sent the end of the claim before that.
   */
  hasProof(jobId: string): boolean {
    const claim = this.#claims.get(jobId);
    if (claim === undefined) {
      return false;
    }
    return [...claim.homes.values()].some(({ home, stream, state }) =>
      state === "granted" && home.streamNumber === stream &&
      home.proofAgeMs < BATCH_LIMITS.entryTimeoutMs
    );
  }

  /** Releases a job of which no run can be executing any more. */
  release(jobId: string): void {
    const claim = this.#claims.get(jobId);
    this.#claims.delete(jobId);
    claim?.homes.forEach(({ home }) => home.releaseJobs([jobId]));
  }

  handleReply(home: ClaimHome, reply: JobClaimReply): void {
    const claim = this.#claims.get(reply.jobId);
    const asked = claim?.homes.get(home.agentId);
    if (
      claim === undefined || asked === undefined ||
      claim.number !== reply.number || asked.stream !== home.streamNumber
    ) {
      return;
    }
    asked.state = reply.outcome;
    if (reply.outcome === "held") {
      this.#options.log.record("job_claim_held", {
        job: reply.jobId,
        holder: reply.holder,
        home: home.agentId,
      });
    }
    claim.notify();
  }

  #recordWait(claim: OpenClaim, isAborted: boolean): void {
    const waitedMs = this.#getTime() - claim.claimedAt;
    this.#options.metrics.recordTime("claim", waitedMs);
    if (waitedMs >= LOGGED_WAIT_MS || isAborted) {
      this.#options.log.record("job_claim_waited", {
        job: claim.jobId,
        waitedMs: Math.round(waitedMs),
        homes: [...claim.homes.values()].map(({ home, state }) =>
          `${home.agentId} ${state}`
        ),
        isAborted: isAborted || undefined,
      });
    }
  }

  #runPeriodicChecks(): void {
    const haveHomesChanged = this.#updateReachable();
    for (const claim of this.#claims.values()) {
      if (this.#checkReplies(claim) || haveHomesChanged) {
        this.#askHomes(claim);
      }
      if (!claim.isTaken) {
        claim.notify();
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
        this.#handleLostHome(claim, agentId, asked);
        hasChanged = true;
      } else if (asked.state === "asked") {
        asked.checks++;
        if (asked.checks >= MAX_CHECKS_WITHOUT_REPLY) {
          asked.state = "silent";
          hasChanged = true;
        }
      }
    }
    return hasChanged;
  }

  #handleLostHome(claim: OpenClaim, agentId: string, asked: AskedHome): void {
    if (asked.state !== "held") {
      claim.homes.delete(agentId);
      return;
    }
    asked.checksToExpiry ??= Math.ceil(
      getClaimExpiryMs("silent") / CHECK_INTERVAL_MS,
    );
    asked.checksToExpiry--;
    if (asked.checksToExpiry <= 0) {
      claim.homes.delete(agentId);
    }
  }

  /** Claims the job at those of its homes that have not been asked yet. */
  #askHomes(claim: OpenClaim): void {
    const isReplacement = claim.homes.size > 0;
    const candidates = this.#options.getHomes().filter((home) =>
      home.canKeepClaims && claim.homes.get(home.agentId)?.state !== "silent"
    );
    for (const home of selectHomes(claim.jobId, candidates, HOME_COUNT)) {
      if (claim.homes.has(home.agentId)) {
        continue;
      }
      claim.homes.set(home.agentId, {
        home,
        stream: home.streamNumber,
        state: "asked",
        checks: 0,
        isReplacement,
        checksToExpiry: undefined,
      });
      home.claimJob({
        jobId: claim.jobId,
        number: claim.number,
        ageMs: Math.round(this.#getTime() - claim.claimedAt),
        isRenewal: claim.isTaken,
      });
    }
  }
}

/**
 * Returns whether the job may be placed: a home has granted it, no home knows of
 * a holder, and each of the first ones has replied or has had the time for it.
 */
function isGranted(claim: OpenClaim): boolean {
  const homes = [...claim.homes.values()];
  if (homes.length === 0) {
    // Without any agent there is nothing that runs could be placed on.
    return true;
  }
  return homes.some(({ state }) => state === "granted") &&
    homes.every(({ state, isReplacement }) =>
      state !== "held" && (state !== "asked" || isReplacement)
    );
}
