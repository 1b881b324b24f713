import type { EventLog } from "../../ports/mod.ts";
import type { CancelReason, JobClaim } from "../../messages/mod.ts";
import { BATCH_LIMITS } from "../batch_limits.ts";
import { getClaimExpiryMs } from "../get_claim_expiry_ms.ts";
import { NO_CLAIM } from "../no_claim.ts";
import type { ClaimOwner } from "./claim_owner.ts";

/** Difference of two ages of one submission by rounding, in milliseconds. */
const AGE_ROUNDING_MS = 1;

/**
 * Difference of two arrivals below which agents may disagree on their order, in
 * milliseconds.
 */
const ARRIVAL_TOLERANCE_MS = 50;

interface HeldJob {
  holder: ClaimOwner;
  /** Whether this agent decides between the holder and another entry. */
  isDeciding: boolean;
  /** When the holder got the job, on this process's monotonic clock. */
  arrivedAt: number;
  /** Frames of the holder that had arrived at the last check. */
  frameCount: number;
  wasClosed: boolean;
  /**
   * Time since the last frame of the holder or the close of its stream, in
   * milliseconds, without the time in which this process was paused.
   */
  silenceMs: number;
  /** The latest other entry that has claimed the job. */
  waiter: ClaimWaiter | undefined;
  /** Whether the holder was asked to stop the job. */
  isCancelled: boolean;
}

interface ClaimWaiter {
  readonly owner: ClaimOwner;
  readonly number: number;
  readonly arrivedAt: number;
  readonly isDeciding: boolean;
  /** Addresses of the agents that are told of the grant. */
  readonly notify: readonly string[];
  /** Spec that these agents get with the grant. */
  readonly spec: string | undefined;
}

interface LatestRun {
  readonly owner: Pick<ClaimOwner, "name" | "sendCancel">;
  readonly jobArrivedAt: number;
}

/** One submission of a job, as entries compare them. */
interface Submission {
  readonly owner: Pick<ClaimOwner, "name">;
  readonly arrivedAt: number;
}

export interface JobClaimTableOptions {
  log: EventLog;
  /** Finds the run of a job here whose entry has got the job last. */
  findLatestRun: (
    jobId: string,
  ) => LatestRun | undefined;
  /** Called when a claim is granted that agents at other addresses wait for. */
  onGranted: (
    addresses: readonly string[],
    claim: {
      owner: ClaimOwner;
      jobId: string;
      number: number;
      spec: string | undefined;
    },
  ) => void;
  getTime?: () => number;
}

/**
 * The jobs that entries have claimed at this agent. The latest submission of a
 * job counts: its client is taken to have left the other entry. One agent
 * decides which that is, the highest-ranking home, since two could disagree and have
 * both entries give the job up. The other entry is asked to stop the job, and a later claim is granted when it has released the
 * job, or when its runs have certainly ended. While a job is claimed, no run of
 * it is started for another entry.
 */
export class JobClaimTable {
  readonly #options: JobClaimTableOptions;
  readonly #getTime: () => number;
  readonly #jobs = new Map<string, HeldJob>();
  readonly #startedAt: number;

  constructor(options: JobClaimTableOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
    this.#startedAt = this.#getTime();
  }

  /** Gets the time since this table was created, in milliseconds. */
  get uptimeMs(): number {
    return this.#getTime() - this.#startedAt;
  }

  /** Gets the number of jobs that are claimed. */
  get size(): number {
    return this.#jobs.size;
  }

  /** Finds the claimed jobs, by their age, that an entry is told of. */
  findOldJobs(owner: ClaimOwner): string[] {
    const arrivedBefore = this.#getTime() - BATCH_LIMITS.openJobAgeMs;
    return [...this.#jobs].filter(([, { arrivedAt, holder }]) =>
      arrivedAt <= arrivedBefore && !isSameEntry(holder, owner)
    ).map(([jobId]) => jobId);
  }

  /**
   * Returns whether runs of a job may be started for an entry. If another one has
   * claimed the job, the entry with the earlier submission is asked to stop it.
   */
  canStart(jobId: string, owner: ClaimOwner, arrivedAt: number): boolean {
    const held = this.#jobs.get(jobId);
    if (held === undefined || isSameEntry(held.holder, owner)) {
      return true;
    }
    const isLatest = isLater({ owner, arrivedAt }, toSubmission(held));
    if (held.isDeciding && !isLatest) {
      owner.sendCancel(jobId, "superseded");
      return false;
    }
    if (held.isDeciding) {
      this.#recordSuperseded(jobId, held.holder, owner.name);
      this.cancel(jobId, owner, "superseded");
    }
    const { name } = held.holder;
    const value = { jobId, number: NO_CLAIM, holder: name } as const;
    owner.sendClaimReply({ ...value, outcome: "held" });
    return false;
  }

  /** Asks the entry that has claimed a job to stop it, for another entry. */
  cancel(jobId: string, requester: ClaimOwner, reason: CancelReason): void {
    const held = this.#jobs.get(jobId);
    if (held !== undefined && !isSameEntry(held.holder, requester)) {
      held.isCancelled = true;
      held.holder.sendCancel(jobId, reason);
    }
  }

  /**
   * Handles a claim, and replies to it at once. An entry whose submission is not
   * the latest one is asked to stop the job instead.
   * @param arrivedAt - When the entry got the job, on this process's monotonic
   * clock.
   */
  claim(
    owner: ClaimOwner,
    { jobId, number, isDeciding, notify, spec }: JobClaim,
    arrivedAt: number,
  ): void {
    const claim = { owner, number, arrivedAt, isDeciding, notify, spec };
    const held = this.#jobs.get(jobId);
    if (held === undefined) {
      const run = this.#options.findLatestRun(jobId);
      if (run !== undefined && run.owner.name !== owner.name) {
        this.#handleClaimDespiteRun(jobId, claim, run);
      } else {
        this.#grant(jobId, claim);
      }
      return;
    }
    if (isSameEntry(held.holder, owner)) {
      this.#renew(jobId, held, claim);
      return;
    }
    const { holder } = held;
    const isRepeated = held.waiter !== undefined &&
      isSameEntry(held.waiter.owner, owner);
    const waiter = isRepeated ? undefined : held.waiter;
    const isLatest = isLater(claim, waiter ?? toSubmission(held));
    const isDecided = isDeciding || held.isDeciding;
    if (isDecided && !isLatest) {
      this.#recordSuperseded(jobId, owner, (waiter?.owner ?? holder).name);
      owner.sendCancel(jobId, "superseded");
      return;
    }
    if (isLatest) {
      held.waiter = claim;
    }
    if (isDecided) {
      waiter?.owner.sendCancel(jobId, "superseded");
      this.#cancelHolder(jobId, held, owner.name);
    }
    const value = { jobId, number, holder: holder.name } as const;
    owner.sendClaimReply({ ...value, outcome: "held" });
  }

  /** Handles a claim while runs of the job are here for another entry. */
  #handleClaimDespiteRun(
    jobId: string,
    claim: ClaimWaiter,
    run: LatestRun,
  ): void {
    const { owner, number } = claim;
    const { owner: runOwner, jobArrivedAt } = run;
    if (!isLater(claim, { owner: runOwner, arrivedAt: jobArrivedAt })) {
      this.#recordSuperseded(jobId, owner, run.owner.name);
      owner.sendCancel(jobId, "superseded");
      return;
    }
    run.owner.sendCancel(jobId, "superseded");
    // The entry repeats its claim until these runs have ended.
    const value = { jobId, number, holder: run.owner.name } as const;
    owner.sendClaimReply({ ...value, outcome: "held" });
  }

  /** Handles a claim by the holder, on another stream or of a later submission. */
  #renew(jobId: string, held: HeldJob, claim: ClaimWaiter): void {
    const { waiter, isCancelled, arrivedAt } = held;
    if (
      isCancelled &&
      claim.arrivedAt <= arrivedAt + AGE_ROUNDING_MS
    ) {
      held.holder = claim.owner;
      claim.owner.sendCancel(jobId, "superseded");
      return;
    }
    if (waiter === undefined || isLater(claim, waiter)) {
      this.#grant(jobId, claim);
      waiter?.owner.sendCancel(jobId, "superseded");
      return;
    }
    // The holder repeats its claim after its stream was interrupted; the submission that
    // waits remains the latest one.
    if (claim.isDeciding) {
      held.holder = claim.owner;
      held.isDeciding = true;
      this.#cancelHolder(jobId, held, waiter.owner.name);
    } else {
      this.#grant(jobId, claim, waiter);
    }
  }

  #cancelHolder(jobId: string, held: HeldJob, claimedBy: string): void {
    this.#recordSuperseded(jobId, held.holder, claimedBy);
    held.isCancelled = true;
    held.holder.sendCancel(jobId, "superseded");
  }

  /** Handles the release of jobs by an entry, or the end of its wait for them. */
  release(owner: ClaimOwner, jobIds: readonly string[]): void {
    for (const jobId of jobIds) {
      const held = this.#jobs.get(jobId);
      if (held === undefined) {
        continue;
      }
      if (isSameEntry(held.holder, owner)) {
        this.#endHolding(jobId, held);
      } else if (
        held.waiter !== undefined && isSameEntry(held.waiter.owner, owner)
      ) {
        held.waiter = undefined;
      }
    }
  }

  /**
   * Ends the holding of entries that are gone. Called once in each
   * `claimCheckIntervalMs`; counts these calls, so that a pause of this process
   * is not taken for the silence of entries.
   */
  runPeriodicChecks(): void {
    for (const [jobId, held] of this.#jobs) {
      const { holder, waiter } = held;
      if (
        holder.frameCount !== held.frameCount ||
        holder.isClosed !== held.wasClosed
      ) {
        held.frameCount = holder.frameCount;
        held.wasClosed = holder.isClosed;
        held.silenceMs = 0;
      } else {
        held.silenceMs += BATCH_LIMITS.claimCheckIntervalMs;
      }
      if (waiter?.owner.isClosed === true) {
        held.waiter = undefined;
      }
      // An entry that is only silent still counts on the job when it returns.
      const isExpired = holder.isClosed
        ? held.silenceMs >= getClaimExpiryMs("closed")
        : (held.waiter !== undefined || held.isCancelled) &&
          held.silenceMs >= getClaimExpiryMs("silent");
      if (isExpired) {
        this.#options.log.record("job_claim_expired", {
          job: jobId,
          holder: holder.name,
          stream: holder.isClosed ? "closed" : "silent",
          silenceMs: held.silenceMs,
          claimedBy: held.waiter?.owner.name,
        });
        this.#endHolding(jobId, held);
      }
    }
  }

  #endHolding(jobId: string, { waiter }: HeldJob): void {
    if (waiter === undefined) {
      this.#jobs.delete(jobId);
    } else {
      this.#grant(jobId, waiter);
    }
  }

  #grant(
    jobId: string,
    { owner, number, arrivedAt, isDeciding, notify, spec }: ClaimWaiter,
    waiter?: ClaimWaiter,
  ): void {
    this.#jobs.set(jobId, {
      holder: owner,
      isDeciding,
      arrivedAt,
      frameCount: owner.frameCount,
      wasClosed: owner.isClosed,
      silenceMs: 0,
      waiter,
      isCancelled: false,
    });
    const reply = { jobId, number, outcome: "granted", holder: "" } as const;
    owner.sendClaimReply(reply, { canWait: notify.length > 0 });
    if (notify.length > 0) {
      this.#options.onGranted(notify, { owner, jobId, number, spec });
    }
  }

  #recordSuperseded(
    jobId: string,
    former: ClaimOwner,
    claimedBy: string,
  ): void {
    this.#options.log.record("job_superseded", {
      job: jobId,
      entry: former.name,
      claimedBy,
    });
  }
}

function toSubmission({ holder, arrivedAt }: HeldJob): Submission {
  return { owner: holder, arrivedAt };
}

/**
 * Returns whether a submission came later than another one. Of two that came at about
 * the same time, all agents must take the same one for the later.
 */
function isLater(submission: Submission, other: Submission): boolean {
  const differenceMs = submission.arrivedAt - other.arrivedAt;
  const { name } = submission.owner;
  return name === other.owner.name ||
      Math.abs(differenceMs) >= ARRIVAL_TOLERANCE_MS
    ? differenceMs > 0
    : name > other.owner.name;
}

function isSameEntry(a: ClaimOwner, b: ClaimOwner): boolean {
  return a.name === b.name && a.incarnation === b.incarnation;
}
