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
 * name. A claim is made before the first run, costs one round trip, and is
 * renewed at another home when one is lost.
 */
export class JobClaims {
  readonly #options: JobClaimsOptions;
  readonly #getTime: () => number;
  readonly #claims = new Map<string, OpenClaim>();
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
    for (const claim of this.#claims.values()) {
      this.#checkClaim(claim);
    }
  }

  /** Looks for homes that are lost or do not reply, and asks others instead. */
  #checkClaim(claim: OpenClaim): void {
    for (const [agentId, asked] of claim.homes) {
      const { home, stream } = asked;
      if (home.streamNumber !== stream || !home.canKeepClaims) {
        this.#handleLostHome(claim, agentId, asked);
      } else if (asked.state === "asked") {
        asked.checks++;
        if (asked.checks >= MAX_CHECKS_WITHOUT_REPLY) {
          asked.state = "silent";
        }
      }
    }
    this.#askHomes(claim);
    if (!claim.isTaken) {
      claim.notify();
    }
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

  /** Claims the job at as many homes as are missing. */
  #askHomes(claim: OpenClaim): void {
    const kept = [...claim.homes.values()];
    const missing = HOME_COUNT -
      kept.filter(({ state, checksToExpiry }) =>
        state !== "silent" && checksToExpiry === undefined
      ).length;
    if (missing <= 0) {
      return;
    }
    const homes = selectHomes(claim.jobId, {
      homes: this.#options.getHomes().filter((home) => home.canKeepClaims),
      kept: kept.map(({ home }) => home),
      count: missing,
    });
    for (const home of homes) {
      claim.homes.set(home.agentId, {
        home,
        stream: home.streamNumber,
        state: "asked",
        checks: 0,
        isReplacement: kept.length > 0,
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
