import type { LoadEvent } from "./load_event.ts";
import type { ClusterShape } from "./cluster_shape.ts";
import type { PlannedJob } from "./planned_job.ts";

const STEP_MS = 50;

export interface MaxWorkBySecondOptions {
  shape: ClusterShape;
  events: readonly LoadEvent[];
  seconds: number;
}

/**
 * Gets the work that could be done in each second at most, in milliseconds at
 * speed 1: all work that has arrived is served by all slots in service, as a
 * fluid. A zone counts as out and in from the moment of the operator's change,
 * so a delay of the cluster is not allowed for.
 */
export function getMaxWorkBySecond(
  jobs: readonly PlannedJob[],
  options: MaxWorkBySecondOptions,
): number[] {
  const { shape, events, seconds } = options;
  const allowed = Array.from({ length: seconds }, () => 0);
  let backlog = 0;
  let next = 0;
  for (let time = 0; time < seconds * 1_000; time += STEP_MS) {
    for (; (jobs[next]?.arrivalMs ?? Infinity) < time + STEP_MS; next++) {
      backlog += jobs[next]?.runMs.reduce((sum, runMs) => sum + runMs, 0) ?? 0;
    }
    const capacity = getCapacityAt(time, { shape, events }) * STEP_MS;
    const done = Math.min(backlog, capacity);
    backlog -= done;
    const second = Math.floor(time / 1_000);
    allowed[second] = (allowed[second] ?? 0) + done;
  }
  return allowed;
}

function getCapacityAt(
  timeMs: number,
  options: Pick<MaxWorkBySecondOptions, "shape" | "events">,
): number {
  const { shape, events } = options;
  const out = new Set<string>();
  for (const event of events) {
    if (event.type === "zone" && event.atMs <= timeMs) {
      event.state === "out" ? out.add(event.zone) : out.delete(event.zone);
    }
  }
  return shape.speeds.reduce(
    (sum, speed, worker) =>
      out.has(shape.agentZones[worker] ?? "") ? sum : sum + speed * shape.slots,
    0,
  );
}
