import type { BatchStep } from "./batch_step.ts";
import { hasRoom } from "./has_room.ts";
import type { WorkerOffer } from "./worker_offer.ts";

/** Returns whether the given workers could hold all tasks of a step. */
export function canRunStep(
  step: BatchStep,
  offers: readonly WorkerOffer[],
): boolean {
  const suitable = offers.filter(({ labels, capacity }) =>
    hasRoom(capacity, step.resources) &&
    (step.requiredLabel === undefined || labels.includes(step.requiredLabel))
  );
  return suitable.length > 0 &&
    suitable.length * step.maxPerWorker >= step.count;
}
