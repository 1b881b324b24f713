import type { WorkerOffer } from "../../../state/batch/mod.ts";
import type { WorkerProfile } from "../../messages/mod.ts";

/** Merges what a worker offers with the largest capacity seen before. */
export function mergeOffers(
  known: WorkerOffer | undefined,
  { labels, cpuMillis, memoryMb, gpus }: WorkerProfile,
): WorkerOffer {
  const largest = known?.capacity;
  return {
    labels,
    capacity: {
      cpuMillis: Math.max(cpuMillis, largest?.cpuMillis ?? 0),
      memoryMb: Math.max(memoryMb, largest?.memoryMb ?? 0),
      gpus: Math.max(gpus, largest?.gpus ?? 0),
    },
  };
}
