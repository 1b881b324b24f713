import type { ClusterShape } from "./cluster_shape.ts";

/**
 * Gets a lower bound of the response time of one job under any scheduler, in
 * milliseconds.
 *
 * The bound is the client's network round trip plus the largest, over k, of
 * (work of the job's k longest tasks) / (sum of the speeds of the k fastest
 * slots). Proof: a task runs on one slot at a time. Hence at any moment at most
 * k of the k longest tasks run, on k different slots, and together they
 * progress at most at the sum of the k fastest speeds. Their whole work
 * therefore takes at least that quotient, and the job's answer needs all of
 * them. For k = 1 this is the longest task on the fastest worker; when k
 * reaches the number of slots it is the fluid bound, in which every slot serves
 * this job from its arrival on. The proof uses nothing about the other jobs:
 * they can only take slots away, since a slot never runs faster for them. So
 * the bound holds with all arrivals present and for schedulers that know the
 * future, interrupt tasks or move them. No time inside the cluster is counted,
 * so messages can't make it too large.
 *
 * @param runMs - Run times of the job's tasks on a worker of speed 1.
 * @param shape - The cluster.
 */
export function getLowerBoundMs(
  runMs: readonly number[],
  shape: Pick<ClusterShape, "slots" | "speeds" | "clientLatencyMs">,
): number {
  const speeds = [...shape.speeds].sort((a, b) => b - a);
  const longestFirst = [...runMs].sort((a, b) => b - a);
  let work = 0;
  let speed = 0;
  let bound = 0;
  longestFirst.forEach((time, position) => {
    work += time;
    speed += speeds[Math.floor(position / shape.slots)] ?? 0;
    bound = Math.max(bound, work / speed);
  });
  return bound + 2 * shape.clientLatencyMs;
}
