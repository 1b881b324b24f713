/**
 * Decides whether an agent queues a run or declines it. The load it answers: an
 * entry places tasks by reports of the workers, which are the older the more
 * entries there are. The agent alone knows what its worker runs now, so it hands a
 * run back that would miss its latency target here, as long as another worker may
 * start it sooner. Without this, a task waits for room at one worker while others
 * have some, and its job is as late as that task. While entries are behind with their
 * messages, the way to another worker takes longer than most waits for room.
 */
import type { QueueingDecision } from "./queueing_decision.ts";

export interface DecideQueueingOptions {
  /** Expected time until the worker has room for the run, in milliseconds. */
  startMs: number;
  /** Expected run time on this worker, in milliseconds. */
  runMs: number;
  /** Time left until the latency target of the job, in milliseconds. */
  targetLeftMs: number;
  /** Whether the entry can place the run at another worker. */
  canBeDeclined: boolean;
  /** Expected time until the run would start at another worker, in milliseconds. */
  detourMs?: number;
}

/**
 * Declines a run that would miss its latency target by the wait for room, and is
 * expected to start sooner at another worker.
 */
export function decideQueueing(
  options: DecideQueueingOptions,
): QueueingDecision {
  const { startMs, runMs, targetLeftMs, canBeDeclined, detourMs = 0 } = options;
  const slackMs = Math.max(0, targetLeftMs - runMs);
  return canBeDeclined && startMs > Math.max(slackMs, detourMs)
    ? { kind: "declined", startMs }
    : { kind: "queued" };
}
