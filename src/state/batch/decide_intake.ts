/**
 * Decides whether an entry that is short of processor time takes a new request.
 * The load it answers: more requests than the entry can read, place and answer,
 * while the workers may have room. Without this, each request waits longer than
 * the one before, until all of them miss their deadlines.
 */
import { getRetryAfterMs } from "./get_retry_after_ms.ts";
import type { IntakeDecision } from "./intake_decision.ts";

/**
 * Delay of the event loop above which an entry is overloaded, in milliseconds.
 * Longer than a collection of garbage, and short enough that the agents, which
 * wait 900 ms for an acknowledgement, still count the entry as responsive.
 */
const OVERLOAD_DELAY_MS = 150;

/** Delay above which no request can be answered in time, in milliseconds. */
const MAX_DELAY_MS = 450;

/**
 * Turns of the event loop that a job takes: its placement, the ends of its
 * tasks, and its answer.
 */
const TURNS_PER_JOB = 2;

export interface DecideIntakeOptions {
  /**
   * Delay of this entry's event loop by other work than the requests that it handles
   * in order, in milliseconds.
   */
  delayMs: number;
  /**
   * Time that the job may take beyond its run time and still meet its latency
   * target, in milliseconds.
   */
  slackMs: number;
  /** Returns a number from 0 up to 1, which spreads the retries. */
  getRandom?: () => number;
}

/**
 * Refuses a job that would miss its latency target because of the entry's own
 * delay, and every job while the delay is too long.
 */
export function decideIntake(
  options: DecideIntakeOptions,
): IntakeDecision {
  const { delayMs, slackMs, getRandom } = options;
  const isTooSlow = delayMs > MAX_DELAY_MS ||
    (delayMs > OVERLOAD_DELAY_MS && TURNS_PER_JOB * delayMs > slackMs);
  return isTooSlow
    ? {
      kind: "refused",
      cause: "loop_delay",
      retryAfterMs: getRetryAfterMs(0, getRandom),
    }
    : { kind: "accepted" };
}
