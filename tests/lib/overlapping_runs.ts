import type { WorkerEvent } from "../../platform/stand_in/mod.ts";

interface ActiveRun {
  readonly task: string;
  readonly workerId: string;
  readonly name: string;
  readonly startedAt: number;
}

/** Finds tasks with two runs at work at the same time, from workers' events. */
export class OverlappingRuns {
  /** Description of each overlap that has ended. */
  readonly overlaps: string[] = [];
  readonly #activeRuns = new Set<ActiveRun>();

  /** Gets the number of runs at work. */
  get activeCount(): number {
    return this.#activeRuns.size;
  }

  /** Gets the workers that have runs at work. */
  get activeWorkerIds(): Set<string> {
    return new Set([...this.#activeRuns].map(({ workerId }) => workerId));
  }

  /** Records the start or end of a run at a worker. */
  recordEvent(event: WorkerEvent): void {
    if (event.kind !== "started" && event.kind !== "ended") {
      return;
    }
    const { task, workerId, at } = event;
    const name = `run ${event.run} at ${workerId}`;
    if (event.kind === "started") {
      this.#activeRuns.add({ task, workerId, name, startedAt: at });
      return;
    }
    const runs = [...this.#activeRuns].filter((run) => run.task === task);
    const ended = runs.find((run) => run.name === name) as ActiveRun;
    this.#activeRuns.delete(ended);
    for (const other of runs) {
      if (other !== ended) {
        const overlapMs = at - Math.max(ended.startedAt, other.startedAt);
        this.overlaps.push(
          `${task}: ${name} and ${other.name} for ${Math.round(overlapMs)} ms`,
        );
      }
    }
  }
}
