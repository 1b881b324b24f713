import type { StoredAnswer } from "../messages/mod.ts";
import type { JobOutcome } from "./job_outcome.ts";
import type { TaskSpec } from "./task_spec.ts";

/**
 * One accepted request of a caller: a job, or a single request as a job of one
 * task.
 */
export interface Submission {
  /** Idempotency key, scoped by the customer. */
  readonly key: string;
  /** Digest of the request. */
  readonly fingerprint: string;
  readonly customer: string;
  readonly team?: string | undefined;
  readonly service: string;
  readonly job?: string | undefined;
  readonly tasks: readonly TaskSpec[];
  readonly deadlineMs?: number | undefined;
  readonly priority?: number | undefined;
  /** Formats the outcome as an answer in the caller's protocol. */
  readonly formatAnswer: (outcome: JobOutcome) => StoredAnswer;
}
