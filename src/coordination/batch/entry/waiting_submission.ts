import type { BatchAnswer } from "./batch_answer.ts";
import type { CallerSignal } from "./caller_signal.ts";
import type { JobArrival } from "./job_arrival.ts";
import type { SubmissionHead } from "./submission_head.ts";

/** A submission that waits for its turn. */
export interface WaitingSubmission extends SubmissionHead {
  arrival: JobArrival;
  /** Aborts when the client no longer waits. */
  signal: CallerSignal;
  /** Called when its turn has come. */
  handle: (queuedMs: number) => void;
  /** Called when it will not be handled. Nothing has been run for it. */
  reject: (answer: BatchAnswer) => void;
}
