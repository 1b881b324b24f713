import type { ClusterView } from "../../state/view/mod.ts";
import type { OutageReport } from "../messages/mod.ts";
import { VIEW_LIMITS } from "./view_limits.ts";

/**
 * Reports that processes of the availability zones can't reach the log. A
 * process that can't reach the log may be cut off alone, and then an operator's
 * change could have passed it by. It goes on working only while most zones
 * report the same.
 */
export class OutageReports {
  readonly #zone: string;
  readonly #times = new Map<string, number>();

  /** @param zone - Availability zone of this process. */
  constructor(zone: string) {
    this.#zone = zone;
  }

  /** Records that this process failed to reach the log. */
  addOwnReport(time: number): void {
    this.#add(this.#zone, time);
  }

  /** Removes the report for this zone after the log was reached. */
  removeOwnReport(): void {
    this.#times.delete(this.#zone);
  }

  /**
   * Merges reports that another process sent.
   * @param reports - The reports.
   * @param sentAfter - A local time that is certainly before the message was
   * made.
   */
  mergeReports(reports: readonly OutageReport[], sentAfter: number): void {
    for (const report of reports) {
      this.#add(report.zone, sentAfter - report.ageMs);
    }
  }

  /** Gets the reports that are still of use, for other processes. */
  getReports(now: number): OutageReport[] {
    const reports: OutageReport[] = [];
    for (const [zone, time] of this.#times) {
      const ageMs = Math.ceil(now - time);
      if (ageMs <= VIEW_LIMITS.maxOutageReportAgeMs) {
        reports.push({ zone, ageMs });
      }
    }
    return reports;
  }

  /**
   * Do most of the zones that have members in service report that they can't
   * reach the log?
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
    const hasOwn = reported.some((report) => report.zone === this.#zone);
    return hasOwn && reported.length * 2 > zones.size;
  }

  #add(zone: string, time: number): void {
    this.#times.set(zone, Math.max(this.#times.get(zone) ?? -Infinity, time));
  }
}
