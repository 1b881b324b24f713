import {
  addTaskToLoad,
  type AddTaskToLoadOptions,
  decideAdmission,
  DeclinePolicy,
  placeTasks,
  type WorkerLoad,
} from "../../../src/state/batch/mod.ts";
import { createBatchStep } from "../create_batch_step.ts";
import type { EventQueue } from "./event_queue.ts";
import type { FleetJob } from "./fleet_job.ts";
import { FLEET_LIMITS } from "./fleet_limits.ts";
import type { FleetRandom } from "./fleet_random.ts";
import type { FleetWorker } from "./fleet_worker.ts";

/** What an entry knows of a worker: its last report, and the orders since. */
interface View {
  load: WorkerLoad;
  lastBatch: number;
  unreported: { batch: number; task: AddTaskToLoadOptions }[];
}

export interface FleetEntryOptions {
  events: EventQueue;
  random: FleetRandom;
  /** Index of the entry. */
  index: number;
  workers: readonly FleetWorker[];
  /** Time by which it handles or sends a message late, in milliseconds. */
  entryDelayMs?: number;
  ignoresDetours?: boolean;
}

/** An entry, which places jobs by the reports that it has got. */
export class FleetEntry {
  readonly #options: FleetEntryOptions;
  readonly #declinePolicy: DeclinePolicy;
  readonly #views: View[];
  /** Time of a message to or from an agent, in milliseconds. */
  readonly #messageMs: number;

  constructor(options: FleetEntryOptions) {
    this.#options = options;
    const { random, workers, entryDelayMs = 0 } = options;
    this.#messageMs = FLEET_LIMITS.frameMs + entryDelayMs;
    this.#declinePolicy = new DeclinePolicy({ getRandom: random.getNumber });
    this.#views = workers.map((worker) => ({
      load: worker.createReport(),
      lastBatch: 0,
      unreported: [],
    }));
  }

  /** @param batch - Number of the last order that the report includes. */
  handleReport(workerIndex: number, load: WorkerLoad, batch: number): void {
    const view = this.#views[workerIndex] as View;
    view.unreported = view.unreported.filter((order) => order.batch > batch);
    const slotRoundingOffset = this.#options.random.getNumber();
    view.load = { ...load, slotRoundingOffset };
    for (const { task } of view.unreported) {
      view.load = addTaskToLoad(view.load, task);
    }
  }

  submitJob(job: FleetJob): void {
    const avoidedAgents = new Map<number, Set<string>>();
    for (let index = 0; index < job.count; index++) {
      avoidedAgents.set(index, new Set());
    }
    job.isRefused = !this.#place(job, [...avoidedAgents.keys()], avoidedAgents);
  }

  /** Returns whether the tasks were sent. */
  #place(
    job: FleetJob,
    indexes: readonly number[],
    avoidedAgents: ReadonlyMap<number, Set<string>>,
  ): boolean {
    const { events, random } = this.#options;
    const { kind: { priority }, expectedMs } = job;
    const resources = FLEET_LIMITS.taskResources;
    const placements = placeTasks({
      step: createBatchStep({ count: job.count, resources, expectedMs }),
      ...{ indexes, priority, avoidedAgents, getRandom: random.getNumber },
      loads: this.#views.map(({ load }) => load),
    });
    const decision = decideAdmission({
      ...{ taskCount: indexes.length, placements, hasWorkers: true },
      timeLeftMs: getUsefulUntil(job) - events.now,
    });
    for (const { index, agentId } of placements) {
      if (decision.kind === "admitted") {
        const avoided = avoidedAgents.get(index) as Set<string>;
        this.#sendOrder(job, Number(agentId), avoided, () => {
          avoided.add(agentId);
          this.#place(job, [index], avoidedAgents);
        });
      }
    }
    return decision.kind === "admitted";
  }

  #sendOrder(
    job: FleetJob,
    workerIndex: number,
    { size: declines }: ReadonlySet<string>,
    placeAgain: () => void,
  ): void {
    const { events, random, workers, index: entry } = this.#options;
    const { grantMs, placeAgainMs, taskResources } = FLEET_LIMITS;
    const { kind: { priority }, expectedMs } = job;
    const view = this.#views[workerIndex] as View;
    const batch = ++view.lastBatch;
    const task = { resources: taskResources, expectedMs, priority };
    view.unreported.push({ batch, task });
    view.load = addTaskToLoad(view.load, task);
    const policy = this.#declinePolicy;
    const canBeDeclined = policy.canBeDeclined(declines);
    const recordEnd = (wasDeclined: boolean) =>
      canBeDeclined ? policy.record(wasDeclined) : undefined;
    const startableAt = events.now + (declines > 0 ? 0 : grantMs);
    const sentAt = events.now;
    const detourMs = this.#options.ignoresDetours === true
      ? 0
      : policy.detours.estimateMs(priority);
    events.add(this.#messageMs, () =>
      workers[workerIndex]?.handleOrder(batch, {
        ...{ ...task, task: job.kind.name, entry, canBeDeclined, startableAt },
        detourMs,
        ...{ arrivedAt: events.now, startedAt: 0 },
        jobId: `${entry} ${job.arrivedAt}`,
        workMs: job.workMs * random.getFactor(FLEET_LIMITS.taskDeviation),
        deadlineAt: getUsefulUntil(job),
        latencyTargetAt: job.arrivedAt + getExpectedTargetMs(job),
        onEnd: (runMs) => {
          recordEnd(false);
          events.add(this.#messageMs, () => {
            policy.detours.record(priority, events.now - sentAt, runMs);
            if (--job.tasksLeft === 0) {
              job.endedAt = events.now;
            }
          });
        },
        onDecline: () => {
          recordEnd(true);
          job.declines++;
          events.add(this.#messageMs + placeAgainMs, placeAgain);
        },
      }));
  }
}

function getExpectedTargetMs({ expectedMs }: FleetJob): number {
  return FLEET_LIMITS.stretch * expectedMs + FLEET_LIMITS.latencyTargetMs;
}

/** Gets the time until which an answer is expected to be of use. */
function getUsefulUntil(job: FleetJob): number {
  return job.arrivedAt + FLEET_LIMITS.maxLateness * getExpectedTargetMs(job);
}
