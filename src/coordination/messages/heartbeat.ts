import type { OutageReport } from "./outage_report.ts";
import type { RawLogRecord } from "./raw_log_record.ts";

/**
 * Sent at a fixed interval in both directions of each stream with credits.
 */
export interface Heartbeat {
  sequence: number;
  /**
   * Last sequence number received from the peer. Gives the peer a lower bound
   * for the time at which this message was created.
   */
  echo: number;
  viewOffset: number;
  viewAgeMs: number;
  outageReports: OutageReport[];
  /** Records that follow the peer's last reported view offset. */
  records: RawLogRecord[];
  /**
   * From an entry: number of tasks that wait for slots of the receiver. From an
   * agent: number of its running tasks.
   */
  queued: number;
  clock: number;
}
