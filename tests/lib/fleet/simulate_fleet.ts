/**
 * Simulates entries and agents under load without a network: jobs arrive at the
 * entries, which place their tasks by the reports that they have, and agents
 * report their workers in the intervals and with the delays of the product. The
 * decisions are those of the product.
 */
import { getStatusIntervalMs } from "../../../src/coordination/batch/agent/mod.ts";
import { EventQueue } from "./event_queue.ts";
import { FleetEntry } from "./fleet_entry.ts";
import type { FleetJob } from "./fleet_job.ts";
import type { FleetJobKind } from "./fleet_job_kind.ts";
import { FLEET_LIMITS } from "./fleet_limits.ts";
import type { FleetOptions } from "./fleet_options.ts";
import { FleetRandom } from "./fleet_random.ts";
import type { FleetResult } from "./fleet_result.ts";
import { FleetWorker } from "./fleet_worker.ts";
import { summarizeJobs } from "./summarize_jobs.ts";

/** Time after the last arrival in which jobs end, in milliseconds. */
const DRAIN_MS = 10_000;

/** CPU of workers, and their run times relative to the slowest ones. */
const CPU_MILLIS = [32_000, 32_000, 48_000];
const RUN_TIME_FACTORS = [1, 1, 0.41];

/** Standard deviations of the logarithms of what differs between jobs of a kind. */
const DEVIATIONS = { count: 0.4, workMs: 0.4, estimate: 0.25 };

/** Runs a simulation. Returns the results by the names of the kinds of jobs. */
export function simulateFleet(
  options: FleetOptions,
): Record<string, FleetResult> {
  const { entryCount, kinds, durationMs = 6_000 } = options;
  const events = new EventQueue();
  const random = new FleetRandom(options.seed ?? 1);
  const entries: FleetEntry[] = [];
  const workers = createWorkers({ ...options, events, random, entries });
  for (let index = 0; index < entryCount; index++) {
    entries.push(
      new FleetEntry({ ...options, events, random, index, workers }),
    );
  }
  const jobsPerSecond = getJobsPerSecond(options, workers);
  const jobs: FleetJob[] = [];
  const scheduleArrival = (kind: FleetJobKind): void => {
    const delayMs = random.getIntervalMs(kind.frequency * jobsPerSecond);
    events.add(delayMs, () => {
      if (events.now < durationMs) {
        const job = createJob(kind, events.now, random);
        jobs.push(job);
        entries[random.getIndex(entryCount)]?.submitJob(job);
        scheduleArrival(kind);
      }
    });
  };
  kinds.forEach(scheduleArrival);
  events.run(durationMs + DRAIN_MS);
  return Object.fromEntries(kinds.map((kind) => [
    kind.name,
    summarizeJobs(jobs.filter((job) => job.kind === kind)),
  ]));
}

/** @param options.entries - Gets the reports of the workers. */
function createWorkers(
  { events, random, entries, entryCount, workerCount, entryDelayMs = 0 }:
    & FleetOptions
    & {
      events: EventQueue;
      random: FleetRandom;
      entries: readonly FleetEntry[];
    },
): FleetWorker[] {
  return Array.from({ length: workerCount }, (_, index) => {
    const worker: FleetWorker = new FleetWorker({
      ...{ events, entryCount, agentId: String(index) },
      cpuMillis: CPU_MILLIS[random.getIndex(3)] as number,
      runTimeFactor: RUN_TIME_FACTORS[random.getIndex(3)] as number,
      reportIntervalMs: getStatusIntervalMs(entryCount),
      sendReport: (receiver) => {
        const load = worker.createReport();
        const batches = [...worker.receivedBatches];
        const { frameMs } = FLEET_LIMITS;
        events.add(frameMs + entryDelayMs, () => {
          for (const [number, entry] of entries.entries()) {
            if (receiver === "all" || receiver === number) {
              entry.handleReport(index, load, batches[number] ?? 0);
            }
          }
        });
      },
    });
    return worker;
  });
}

function getJobsPerSecond(
  { load, kinds }: FleetOptions,
  workers: readonly FleetWorker[],
): number {
  let capacity = 0;
  for (const { speed } of workers) {
    capacity += speed;
  }
  let workSeconds = 0;
  for (const { frequency, tasks, runMs } of kinds) {
    workSeconds += frequency * tasks * runMs / 1_000;
  }
  return load * capacity / workSeconds;
}

function createJob(
  kind: FleetJobKind,
  arrivedAt: number,
  random: FleetRandom,
): FleetJob {
  const widthFactor = random.getFactor(DEVIATIONS.count);
  const count = Math.max(1, Math.round(kind.tasks * widthFactor));
  const workMs = kind.runMs * random.getFactor(DEVIATIONS.workMs);
  return {
    ...{ kind, count, workMs, arrivedAt },
    expectedMs: workMs * random.getFactor(DEVIATIONS.estimate),
    targetMs: FLEET_LIMITS.stretch * workMs + FLEET_LIMITS.latencyTargetMs,
    ...{ tasksLeft: count, declines: 0, endedAt: undefined, isRefused: false },
  };
}
