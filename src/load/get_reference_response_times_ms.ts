import type { ClusterShape } from "./cluster_shape.ts";
import type { PlannedJob } from "./planned_job.ts";

interface Slot {
  readonly speed: number;
  freeAt: number;
}

interface WaitingJob {
  readonly position: number;
  readonly work: number;
  /** Run times that wait, the longest last. */
  readonly tasks: number[];
}

/**
 * Creates a schedule for a reference and gets each job's response time, in
 * milliseconds. It is not a bound: another schedule may be better. List
 * scheduling by a scheduler that knows all run times and pays nothing for
 * messages: whenever a slot is free, the waiting job with the least work gives
 * its longest task to the fastest free slot. Tasks are never interrupted.
 * @param jobs - The jobs, in order of arrival.
 * @param shape - The cluster.
 */
export function getReferenceResponseTimesMs(
  jobs: readonly Pick<PlannedJob, "arrivalMs" | "runMs">[],
  shape: Pick<ClusterShape, "slots" | "speeds" | "clientLatencyMs">,
): number[] {
  const slots = createSlots(shape);
  const waiting: WaitingJob[] = [];
  const finishedAt = jobs.map(() => 0);
  let next = 0;
  let now = 0;
  while (next < jobs.length || waiting.length > 0) {
    while ((jobs[next]?.arrivalMs ?? Infinity) <= now) {
      addWaiting(waiting, next, jobs[next]?.runMs ?? []);
      next++;
    }
    for (const slot of slots) {
      const job = waiting[0];
      if (job !== undefined && slot.freeAt <= now) {
        slot.freeAt = now + (job.tasks.pop() ?? 0) / slot.speed;
        finishedAt[job.position] = Math.max(
          finishedAt[job.position] ?? 0,
          slot.freeAt,
        );
        if (job.tasks.length === 0) {
          waiting.shift();
        }
      }
    }
    const free = waiting.length === 0
      ? Infinity
      : Math.min(...slots.map((slot) => slot.freeAt));
    now = Math.max(now, Math.min(free, jobs[next]?.arrivalMs ?? Infinity));
  }
  return jobs.map((job, position) =>
    (finishedAt[position] ?? 0) - job.arrivalMs + 2 * shape.clientLatencyMs
  );
}

/** Creates the slots, the fastest first. */
function createSlots(shape: Pick<ClusterShape, "slots" | "speeds">): Slot[] {
  return [...shape.speeds].sort((a, b) => b - a).flatMap((speed) =>
    Array.from({ length: shape.slots }, () => ({ speed, freeAt: 0 }))
  );
}

/** Adds a job before the first one with more work. */
function addWaiting(
  waiting: WaitingJob[],
  position: number,
  runMs: readonly number[],
): void {
  const tasks = [...runMs].sort((a, b) => a - b);
  const work = tasks.reduce((sum, time) => sum + time, 0);
  const index = waiting.findIndex((other) => other.work > work);
  waiting.splice(index < 0 ? waiting.length : index, 0, {
    position,
    work,
    tasks,
  });
}
