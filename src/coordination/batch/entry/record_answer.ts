import {
  type BatchJob,
  getPriorityLabel,
  getResponseTimes,
  type Route,
} from "../../../state/batch/mod.ts";
import type { Metrics } from "../../../state/metrics/mod.ts";
import type { EventLog } from "../../ports/mod.ts";
import type { BatchAnswer } from "./batch_answer.ts";

export interface RecordAnswerOptions {
  job: BatchJob;
  route: Route;
  answer: BatchAnswer;
  /** Time since the entry read the request, in milliseconds. */
  tookMs: number;
  /** Part of it before its turn came, in milliseconds. */
  queuedMs: number;
  /** Part of it after that until the job could be placed, in milliseconds. */
  heldMs: number;
  /** How far the entry was behind when the job's turn came, in milliseconds. */
  readDelayMs: number;
}

/** Records the answer to a job, and whether its caller got it in time. */
export function recordAnswer(
  { log, metrics }: { log: EventLog; metrics: Metrics },
  answered: RecordAnswerOptions,
): void {
  const { job, route, answer, tookMs } = answered;
  metrics.recordTime("job", tookMs);
  metrics.incrementCounter("jobs", 1, {
    labels: { outcome: getOutcomeLabel(answer) },
  });
  const { targetMs } = getResponseTimes(job, route);
  const result = getResultLabel(answer, tookMs <= targetMs);
  metrics.incrementCounter("jobs_by_priority", 1, {
    labels: { priority: getPriorityLabel(route.priority), result },
  });
  log.record("job_answered", {
    job: job.id,
    route: route.name,
    priority: route.priority,
    tookMs: Math.round(tookMs),
    targetMs: Math.round(targetMs),
    queuedMs: Math.round(answered.queuedMs),
    heldMs: Math.round(answered.heldMs),
    readDelayMs: Math.round(answered.readDelayMs),
    ...answer,
  });
}

function getOutcomeLabel(answer: BatchAnswer): string {
  return answer.kind === "error" ? answer.error : answer.kind;
}

/** Gets the outcome, and for a completed job whether its caller got it in time. */
function getResultLabel(answer: BatchAnswer, isInTime: boolean): string {
  if (answer.kind !== "completed") {
    return getOutcomeLabel(answer);
  }
  return isInTime ? "in_time" : "late";
}
