import type { OutageReport } from "./outage_report.ts";
import type { RawLogRecord } from "./raw_log_record.ts";

/** Sent on every stream, in both directions, at a fixed interval. */
export interface Heartbeat {
  sequence: number;
  /**
   * Last sequence received from the peer. It dates everything that this message
   * states.
   */
  echo: number;
  viewOffset: number;
  viewAgeMs: number;
  outageReports: OutageReport[];
  /** Records that follow the peer's last reported view offset. */
  records: RawLogRecord[];
  /**
   * From an entry: tasks for which it wants slots of the receiver. From an
   * agent: its running tasks.
   */
  queued: number;
  clock: number;
}
