import type { QueuedRun } from "../../../state/batch/mod.ts";
import type { AwaitedGrant } from "./awaited_grant.ts";
import type { WorkerEnd } from "./worker_end.ts";
import type { RunOwner } from "./run_owner.ts";
import type { StopRequest } from "./stop_request.ts";

/** A run that an agent holds for an entry. */
export interface LocalRun extends QueuedRun {
  /**
   * Number of the run, raised when the worker refuses it because it has already
   * seen a run of the task with this number.
   */
  run: number;
  readonly jobId: string;
  /** When the entry got the job, on the monotonic clock. */
  readonly jobArrivedAt: number;
  /**
   * Revision of the worker's profile by which its entry has placed it; undefined from
   * entries of earlier versions.
   */
  readonly workerRevision?: number | undefined;
  /** Name of the route of its job. */
  readonly route: string;
  /** Number of workers that have crashed under the task. */
  readonly crashes: number;
  /** Run time before the latest of these crashes in milliseconds, 0 if none. */
  readonly crashedAfterMs: number;
  /** Whether its entry can place it at another worker. */
  readonly canBeDeclined: boolean;
  /**
   * Expected time from a decline until its start at another worker, in milliseconds;
   * 0 by default.
   */
  readonly detourMs?: number | undefined;
  readonly spec: string;
  readonly owner: RunOwner;
  /** The claim that must be granted before the run is started, if it isn't yet. */
  readonly awaitedGrant?: AwaitedGrant | undefined;
  /**
   * `interrupted`: the worker ended before the reply to the start.
   * `uncertain`: a report is to tell whether the worker runs it. With
   * `workerEnd`, the start may have reached the next incarnation.
   */
  state:
    | "queued"
    | "starting"
    | "uncertain"
    | "running"
    | "stopping"
    | "interrupted";
  /** The end of the incarnation to which the start was sent. */
  workerEnd?: WorkerEnd;
  /**
   * When the lease of the start has expired on whichever incarnation got it, on
   * the monotonic clock; set once that to which it was sent has ended.
   */
  unsettledUntil?: number;
  /** When the worker's confirmation of the start arrived. */
  answeredAt?: number;
  /** Whether the incarnation in use is known to have started the run. */
  isConfirmed?: boolean;
  /** Whether to stop the run once it is known that it has started. */
  isStopRequested: boolean;
  /** Why the run is stopped; undefined while nobody has asked for it. */
  stopRequest?: StopRequest;
  /**
   * Lowest fence of a report that tells whether an unanswered start was carried
   * out: the worker ignores the start if it arrives after such a report.
   */
  minReportFence: number;
  /** Starts that the worker has not carried out; 0 by default. */
  missedStarts?: number;
  /** When the start was sent, on the monotonic clock; 0 before that. */
  startedAt: number;
  /** When the last stop was sent, on the monotonic clock. */
  stopSentAt: number;
  /** Consecutive lease reports that should have listed the run and did not. */
  missedReports: number;
}
