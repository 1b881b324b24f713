import type { RunOutcome } from "../../../state/batch/mod.ts";
import { WaitForecast } from "../../../state/batch/mod.ts";
import type { Metrics } from "../../../state/metrics/mod.ts";
import type { RunEnd } from "../../messages/mod.ts";
import type { BatchTask } from "./batch_task.ts";

/** Ends of runs of which it is known how long they waited at least. */
const WAITED_OUTCOMES: ReadonlySet<string> = new Set<RunOutcome>([
  "declined",
  "done",
  "expired",
  "failed",
]);

/**
 * Follows the runs of tasks that name the rack of their data or share a rack: counts
 * those near it and away from it, and records how long they waited for their place.
 */
export class PlaceRecord {
  readonly waitForecast = new WaitForecast();
  readonly #metrics: Metrics;

  constructor({ metrics }: { metrics: Metrics }) {
    this.#metrics = metrics;
  }

  /** Records that a run of the task has been ordered. */
  recordOrder({ step, placed }: BatchTask): void {
    if (placed?.group !== undefined) {
      const place = placed.group.kind;
      this.#metrics.incrementCounter("group_runs_by_place", 1, {
        labels: { place },
      });
    }
    if (step.preferredRack !== undefined && placed !== undefined) {
      const place = placed.isFar ? "far" : placed.place?.kind ?? "near";
      this.#metrics.incrementCounter("runs_by_place", 1, { labels: { place } });
    }
  }

  /**
   * Records the end of the task's latest run.
   * @param now - Current time on the monotonic clock, in milliseconds.
   * @param isInTime - Whether its job can still meet its latency target.
   */
  recordEnd(
    { step, placed, sentAt }: BatchTask,
    end: RunEnd,
    { now, isInTime }: { now: number; isInTime: boolean },
  ): void {
    const isNear = placed?.isFar === false;
    const rack = placed?.group?.rack ??
      (isNear ? step.preferredRack : undefined);
    if (rack === undefined || placed === undefined) {
      return;
    }
    if (WAITED_OUTCOMES.has(end.outcome)) {
      const waitMs = Math.max(0, now - sentAt - end.runMs);
      this.waitForecast.record(rack, placed.startMs, waitMs);
    }
    const isDone = end.outcome === "done";
    if (!isDone && end.outcome !== "declined") {
      return;
    }
    const result = !isDone ? "handed_back" : isInTime ? "in_time" : "late";
    const labels = { result };
    if (isNear && placed.place?.kind === "wait") {
      this.#metrics.incrementCounter("place_waits", 1, { labels });
    }
    if (placed.group?.kind === "wait" && placed.startMs > 0) {
      this.#metrics.incrementCounter("group_waits", 1, { labels });
    }
  }
}
