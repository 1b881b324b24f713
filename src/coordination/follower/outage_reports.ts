import type { ClusterView } from "../../state/view/mod.ts";
import type { OutageReport } from "../messages/mod.ts";
import { VIEW_LIMITS } from "./view_limits.ts";

/**
 * Collects reports by availability zone that processes can't reach the log. A
 * process that can't reach the log may be the only one that is partitioned, and
 * then it may have missed an operator's change. It keeps starting work only
 * while most zones report the same.
 */
export class OutageReports {
  readonly #zone: string;
  readonly #reportTimes = new Map<string, number>();

  /** @param zone - Availability zone of this process. */
  constructor(zone: string) {
    this.#zone = zone;
  }

  /** Records that this process couldn't reach the log at the given time. */
  addOwnReport(time: number): void {
    this.#add(this.#zone, time);
  }

  /** Removes the report for this process's zone after it reached the log. */
  removeOwnReport(): void {
    this.#reportTimes.delete(this.#zone);
  }

  /**
   * Merges reports from another process.
   * @param reports - The reports.
   * @param sentAfter - Local time that is known to be earlier than the creation
   * of the message, in milliseconds.
   */
  mergeReports(reports: readonly OutageReport[], sentAfter: number): void {
    for (const report of reports) {
      this.#add(report.zone, sentAfter - report.ageMs);
    }
  }

  /** Gets the reports that haven't expired, for sending to other processes. */
  getReports(now: number): OutageReport[] {
    const reports: OutageReport[] = [];
    for (const [zone, time] of this.#reportTimes) {
      const ageMs = Math.ceil(now - time);
      if (ageMs <= VIEW_LIMITS.maxOutageReportAgeMs) {
        reports.push({ zone, ageMs });
      }
    }
    return reports;
  }

  /**
   * Checks whether this zone and most of the zones that have members and are in
   * service report that they can't reach the log.
   */
  isOutage(view: ClusterView, now: number): boolean {
    const zones = new Set<string>([this.#zone]);
    for (
      const member of [...view.getMembers("agent"), ...view.getMembers("entry")]
    ) {
      if (view.isZoneInService(member.zone)) {
        zones.add(member.zone);
      }
    }
    const reported = this.getReports(now).filter((report) =>
      zones.has(report.zone)
    );
    const hasOwnReport = reported.some((report) => report.zone === this.#zone);
    return hasOwnReport && reported.length * 2 > zones.size;
  }

  #add(zone: string, time: number): void {
    this.#reportTimes.set(
      zone,
      Math.max(this.#reportTimes.get(zone) ?? -Infinity, time),
    );
  }
}
