import type { LoadEvent } from "./load_event.ts";
import type { ClusterShape } from "./cluster_shape.ts";
import type { PlannedJob } from "./planned_job.ts";

/** Time step of the fluid model, in milliseconds. */
const STEP_MS = 50;

export interface MaxWorkBySecondOptions {
  shape: ClusterShape;
  events: readonly LoadEvent[];
  seconds: number;
}

/**
 * Gets the maximum work that could be done in each second, in milliseconds of
 * run time at speed 1, by the fluid model: all slots in service share all work
 * that has arrived. A zone counts as out of or back in service from the moment
 * of the operator's change, so no allowance is made for the cluster's reaction
 * time.
 */
export function getMaxWorkBySecond(
  jobs: readonly PlannedJob[],
  options: MaxWorkBySecondOptions,
): number[] {
  const { shape, events, seconds } = options;
  const maxWorkBySecond = Array.from({ length: seconds }, () => 0);
  let backlog = 0;
  let nextIndex = 0;
  for (let time = 0; time < seconds * 1_000; time += STEP_MS) {
    for (
      ;
      (jobs[nextIndex]?.arrivalMs ?? Infinity) < time + STEP_MS;
      nextIndex++
    ) {
      backlog += jobs[nextIndex]?.runMs.reduce((sum, runMs) =>
        sum + runMs, 0) ?? 0;
    }
    const capacity = getCapacityAt(time, { shape, events }) * STEP_MS;
    const done = Math.min(backlog, capacity);
    backlog -= done;
    const second = Math.floor(time / 1_000);
    maxWorkBySecond[second] = (maxWorkBySecond[second] ?? 0) + done;
  }
  return maxWorkBySecond;
}

function getCapacityAt(
  timeMs: number,
  options: Pick<MaxWorkBySecondOptions, "shape" | "events">,
): number {
  const { shape, events } = options;
  const zonesOut = new Set<string>();
  for (const event of events) {
    if (event.type === "zone" && event.atMs <= timeMs) {
      event.state === "out"
        ? zonesOut.add(event.zone)
        : zonesOut.delete(event.zone);
    }
  }
  return shape.speeds.reduce(
    (sum, speed, worker) =>
      zonesOut.has(shape.agentZones[worker] ?? "")
        ? sum
        : sum + speed * shape.slots,
    0,
  );
}
