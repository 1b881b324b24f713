import type { BatchHello } from "./batch_hello.ts";
import type { CancelReason } from "./cancel_reason.ts";
import type { JobClaim } from "./job_claim.ts";
import type { JobClaimReply } from "./job_claim_reply.ts";
import type { JobConfirmation } from "./job_confirmation.ts";
import type { JobGrant } from "./job_grant.ts";
import type { OpenJobsChange } from "./open_jobs_change.ts";
import type { OperatorStatePart } from "./operator_state_part.ts";
import type { OperatorStateRequest } from "./operator_state_request.ts";
import type { RunEnd } from "./run_end.ts";
import type { StartRuns } from "./start_runs.ts";
import type { WorkerCrashReport } from "./worker_crash_report.ts";
import type { WorkerProfile } from "./worker_profile.ts";
import type { WorkerStatus } from "./worker_status.ts";

/** The content of a batch frame. */
export type BatchBody =
  | { case: "hello"; value: BatchHello }
  /** Asks the agent to announce itself: its record is gone or another one. */
  | { case: "announce"; value: Record<string, never> }
  | { case: "ping"; value: { operatorOffset: number } }
  | { case: "startRuns"; value: StartRuns }
  | { case: "stopRuns"; value: { tasks: string[] } }
  | { case: "runEnds"; value: { ends: RunEnd[] } }
  | { case: "workerProfile"; value: WorkerProfile }
  | { case: "workerCrash"; value: WorkerCrashReport }
  | { case: "workerStatus"; value: WorkerStatus }
  /** From the side whose state of the operator is older, as pings have told. */
  | { case: "readOperatorState"; value: OperatorStateRequest }
  | { case: "operatorStatePart"; value: OperatorStatePart }
  | { case: "claimJob"; value: JobClaim }
  | { case: "claimReply"; value: JobClaimReply }
  /** From a home to an agent that has orders of the job. */
  | { case: "jobGranted"; value: JobGrant }
  /**
   * To an entry: asks whether the homes have granted a claim for which orders wait.
   * To an agent: they have.
   */
  | { case: "confirmJob"; value: JobConfirmation }
  /** To a home: no run of these jobs that the entry ordered can be executing. */
  | { case: "releaseJobs"; value: { jobIds: string[] } }
  /**
   * To an agent: stops a job, whichever entry coordinates it. To an entry: another
   * one has stopped it.
   */
  | { case: "cancelJob"; value: { jobId: string; reason: CancelReason } }
  /**
   * All jobs with runs at the agent that are old enough that their clients may
   * have sent them to another entry.
   */
  | { case: "openJobs"; value: OpenJobsChange };
