/**
 * Decides whether an entry knows a status already. Workers describe themselves several
 * times a second, and the end of a run sends its entry a status which the status to all
 * entries repeats a millisecond later: without this, an entry spends much of its
 * processor time on reports that tell it nothing.
 */
import type { WorkerStatus } from "../../messages/mod.ts";

/**
 * Time in which a status is left out if only the remaining times of the running tasks
 * differ, in milliseconds. Less than the least interval of statuses, so that the times
 * which an entry knows are hardly older.
 */
const REPEATED_LOAD_MS = 20;

/**
 * Time without another frame after which a status without a change is sent, in
 * milliseconds. An entry that is behind sends its pings late; without the statuses that
 * follow the descriptions of the worker it would then take the agent for suspect.
 */
const MAX_SILENCE_MS = 100;

interface SentStatus {
  readonly value: WorkerStatus;
  /** Time since it was sent, in milliseconds. */
  readonly ageMs: number;
  /** Time since any frame was sent, in milliseconds. */
  readonly silenceMs: number;
}

export function isStatusKnown(
  status: WorkerStatus,
  { value, ageMs, silenceMs }: SentStatus,
): boolean {
  if (!hasSameLoad(status, value)) {
    return false;
  }
  return ageMs < REPEATED_LOAD_MS ||
    (silenceMs < MAX_SILENCE_MS && status.runningLeftMs.length === 0);
}

/** Returns whether two statuses differ only in remaining times of running tasks. */
function hasSameLoad(a: WorkerStatus, b: WorkerStatus): boolean {
  return a.acceptsWork === b.acceptsWork && a.isSettled === b.isSettled &&
    a.freeCpuMillis === b.freeCpuMillis && a.freeMemoryMb === b.freeMemoryMb &&
    a.freeGpus === b.freeGpus && a.entries === b.entries &&
    a.slowdown === b.slowdown && a.receivedBatch === b.receivedBatch &&
    a.failureShare === b.failureShare && a.suspectRuns === b.suspectRuns &&
    a.runningLeftMs.length === b.runningLeftMs.length &&
    areEqual(a.queuedRuns, b.queuedRuns) && areEqual(a.queuedMs, b.queuedMs);
}

function areEqual(a: readonly number[], b: readonly number[]): boolean {
  return a.length === b.length && a.every((value, n) => value === b[n]);
}
