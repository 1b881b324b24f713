import type { ClusterShape } from "./cluster_shape.ts";
import type { PlannedJob } from "./planned_job.ts";

interface Slot {
  readonly speed: number;
  freeAt: number;
}

interface WaitingJob {
  readonly position: number;
  readonly work: number;
  /** Run times of the tasks that have not started, in ascending order. */
  readonly tasks: number[];
}

/**
 * Gets the response time of each job under a reference schedule, in
 * milliseconds. It is not a bound: another schedule may be better. The
 * reference is list scheduling with known run times and without message
 * latency: whenever a slot is free, the longest task of the waiting job with
 * the least work starts on the fastest free slot. Tasks are never preempted.
 * @param jobs - The jobs, in order of arrival.
 * @param shape - Slots, speeds and client latency of the cluster.
 */
export function getReferenceResponseTimesMs(
  jobs: readonly Pick<PlannedJob, "arrivalMs" | "runMs">[],
  shape: Pick<ClusterShape, "slots" | "speeds" | "clientLatencyMs">,
): number[] {
  const slots = createSlots(shape);
  const waitingJobs: WaitingJob[] = [];
  const finishedAt = jobs.map(() => 0);
  let nextIndex = 0;
  let now = 0;
  while (nextIndex < jobs.length || waitingJobs.length > 0) {
    while ((jobs[nextIndex]?.arrivalMs ?? Infinity) <= now) {
      insertWaitingJob(waitingJobs, nextIndex, jobs[nextIndex]?.runMs ?? []);
      nextIndex++;
    }
    for (const slot of slots) {
      const job = waitingJobs[0];
      if (job !== undefined && slot.freeAt <= now) {
        slot.freeAt = now + (job.tasks.pop() ?? 0) / slot.speed;
        finishedAt[job.position] = Math.max(
          finishedAt[job.position] ?? 0,
          slot.freeAt,
        );
        if (job.tasks.length === 0) {
          waitingJobs.shift();
        }
      }
    }
    const nextFreeAt = waitingJobs.length === 0
      ? Infinity
      : Math.min(...slots.map((slot) => slot.freeAt));
    now = Math.max(
      now,
      Math.min(nextFreeAt, jobs[nextIndex]?.arrivalMs ?? Infinity),
    );
  }
  return jobs.map((job, position) =>
    (finishedAt[position] ?? 0) - job.arrivalMs + 2 * shape.clientLatencyMs
  );
}

/** Creates the slots in descending order of speed. */
function createSlots(shape: Pick<ClusterShape, "slots" | "speeds">): Slot[] {
  return [...shape.speeds].sort((a, b) => b - a).flatMap((speed) =>
    Array.from({ length: shape.slots }, () => ({ speed, freeAt: 0 }))
  );
}

/** Inserts a job before the first one with more work. */
function insertWaitingJob(
  waitingJobs: WaitingJob[],
  position: number,
  runMs: readonly number[],
): void {
  const tasks = [...runMs].sort((a, b) => a - b);
  const work = tasks.reduce((sum, time) => sum + time, 0);
  const index = waitingJobs.findIndex((other) => other.work > work);
  waitingJobs.splice(index < 0 ? waitingJobs.length : index, 0, {
    position,
    work,
    tasks,
  });
}
