import type { EventLog } from "../../ports/mod.ts";
import type { JobClaim } from "../../messages/mod.ts";
import { BATCH_LIMITS } from "../batch_limits.ts";
import { getClaimExpiryMs } from "../get_claim_expiry_ms.ts";
import type { ClaimOwner } from "./claim_owner.ts";

interface HeldJob {
  holder: ClaimOwner;
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
}

interface ClaimWaiter {
  readonly owner: ClaimOwner;
  readonly number: number;
  readonly arrivedAt: number;
}

export interface JobClaimTableOptions {
  log: EventLog;
  getTime?: () => number;
}

/**
 * The jobs whose home is this agent, and the entry that may start runs of each.
 * The latest submission of a job counts: the client has left the entry that got
 * an earlier one. That entry is asked to stop the job, and the later claim is
 * granted when it has released the job, or when its runs have certainly ended.
 */
export class JobClaimTable {
  readonly #options: JobClaimTableOptions;
  readonly #getTime: () => number;
  readonly #jobs = new Map<string, HeldJob>();

  constructor(options: JobClaimTableOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** Gets the number of jobs that are held. */
  get size(): number {
    return this.#jobs.size;
  }

  /** Gets the session of the entry that holds a job; undefined if none does. */
  getHolder(jobId: string): ClaimOwner | undefined {
    return this.#jobs.get(jobId)?.holder;
  }

  /** Handles a claim, and replies to it at once unless it is superseded. */
  claim(owner: ClaimOwner, claim: JobClaim): void {
    const { jobId, number, ageMs, isRenewal } = claim;
    const arrivedAt = this.#getTime() - ageMs;
    const held = this.#jobs.get(jobId);
    if (held === undefined) {
      this.#grant(jobId, { owner, number, arrivedAt });
      return;
    }
    if (isSameEntry(held.holder, owner)) {
      if (isRenewal && held.waiter !== undefined) {
        owner.sendCancel(jobId);
        held.holder = owner;
      } else {
        const { waiter } = held;
        this.#grant(jobId, { owner, number, arrivedAt });
        waiter?.owner.sendCancel(jobId);
      }
      return;
    }
    const latestArrivedAt = held.waiter?.arrivedAt ?? held.arrivedAt;
    if (isRenewal && arrivedAt <= latestArrivedAt) {
      this.#recordSuperseded(jobId, owner, held.waiter?.owner ?? held.holder);
      owner.sendCancel(jobId);
      return;
    }
    const { holder, waiter } = held;
    if (waiter !== undefined && !isSameEntry(waiter.owner, owner)) {
      waiter.owner.sendCancel(jobId);
    }
    held.waiter = { owner, number, arrivedAt };
    this.#recordSuperseded(jobId, holder, owner);
    holder.sendCancel(jobId);
    owner.sendClaimReply({
      jobId,
      number,
      outcome: "held",
      holder: holder.name,
    });
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
        : held.waiter !== undefined &&
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

  #grant(jobId: string, { owner, number, arrivedAt }: ClaimWaiter): void {
    this.#jobs.set(jobId, {
      holder: owner,
      arrivedAt,
      frameCount: owner.frameCount,
      wasClosed: owner.isClosed,
      silenceMs: 0,
      waiter: undefined,
    });
    owner.sendClaimReply({ jobId, number, outcome: "granted", holder: "" });
  }

  #recordSuperseded(jobId: string, former: ClaimOwner, by: ClaimOwner): void {
    this.#options.log.record("job_superseded", {
      job: jobId,
      entry: former.name,
      claimedBy: by.name,
    });
  }
}

function isSameEntry(a: ClaimOwner, b: ClaimOwner): boolean {
  return a.name === b.name && a.incarnation === b.incarnation;
}
