import type { JobConfirmation, JobGrant } from "../../messages/mod.ts";
import { AwaitedGrant, type AwaitedGrantOptions } from "./awaited_grant.ts";

/** Checks after which a notice is dropped whose orders have not arrived. */
const MAX_NOTICE_CHECKS = 40;

interface EarlyNotice {
  readonly grant: JobGrant;
  checks: number;
}

/**
 * The claims for which orders wait at this agent, and the notices of homes that have
 * arrived before their orders.
 */
export class AwaitedGrants {
  readonly #awaited = new Map<string, AwaitedGrant[]>();
  readonly #earlyNotices = new Map<string, EarlyNotice[]>();

  /** Adds a claim for which orders wait. */
  add(options: AwaitedGrantOptions): AwaitedGrant {
    const { jobId } = options;
    const awaited = new AwaitedGrant(options);
    for (const { grant } of this.#earlyNotices.get(jobId) ?? []) {
      if (awaited.matches(grant)) {
        awaited.recordGrant(grant);
      }
    }
    if (!awaited.isComplete) {
      this.#awaited.set(jobId, [...this.#awaited.get(jobId) ?? [], awaited]);
    }
    return awaited;
  }

  /** Handles the notice of a home. Returns whether orders need not wait any more. */
  handleNotice(grant: JobGrant): boolean {
    const notices = this.#earlyNotices.get(grant.jobId) ?? [];
    this.#earlyNotices.set(grant.jobId, [...notices, { grant, checks: 0 }]);
    return this.#update(
      grant,
      (awaited) => awaited.recordGrant(grant),
    );
  }

  /** Handles that an entry has got all grants of a claim. */
  handleConfirmation(
    entry: Pick<JobGrant, "entry" | "incarnation">,
    confirmation: JobConfirmation,
  ): boolean {
    return this.#update(
      { ...entry, ...confirmation },
      (awaited) => awaited.recordConfirmation(confirmation),
    );
  }

  /**
   * Asks entries for grants of which the notices are late, and drops old notices.
   * @param hasOrders - Whether orders still wait for a grant.
   */
  runPeriodicChecks(hasOrders: (awaited: AwaitedGrant) => boolean): void {
    for (const [jobId, list] of this.#awaited) {
      const kept = list.filter(hasOrders);
      this.#setAwaited(jobId, kept);
      kept.forEach((awaited) => awaited.runPeriodicCheck());
    }
    for (const [jobId, notices] of this.#earlyNotices) {
      notices.forEach((notice) => notice.checks++);
      const kept = notices.filter(({ checks }) => checks < MAX_NOTICE_CHECKS);
      if (kept.length === 0) {
        this.#earlyNotices.delete(jobId);
      } else {
        this.#earlyNotices.set(jobId, kept);
      }
    }
  }

  #update(
    claim: Omit<JobGrant, "home">,
    apply: (awaited: AwaitedGrant) => void,
  ): boolean {
    const list = this.#awaited.get(claim.jobId) ?? [];
    const matching = list.filter((awaited) => awaited.matches(claim));
    matching.forEach(apply);
    if (!matching.some(({ isComplete }) => isComplete)) {
      return false;
    }
    this.#setAwaited(claim.jobId, list.filter(({ isComplete }) => !isComplete));
    return true;
  }

  #setAwaited(jobId: string, list: AwaitedGrant[]): void {
    if (list.length === 0) {
      this.#awaited.delete(jobId);
    } else {
      this.#awaited.set(jobId, list);
    }
  }
}
