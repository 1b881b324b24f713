import {
  type AdmissionDecision,
  type BatchJob,
  hasRoom,
  type PlacedTask,
  type Route,
  type WorkerLoad,
} from "../../../state/batch/mod.ts";
import type { EventLog } from "../../ports/mod.ts";
import { formatPlacedTask } from "./format_placed_task.ts";

export interface RecordAdmissionOptions {
  job: BatchJob;
  route: Route;
  decision: AdmissionDecision;
  /** The workers that the job may use. */
  loads: readonly WorkerLoad[];
  placements: readonly PlacedTask[];
  /** Number of all tasks of the job. */
  taskCount: number;
  /** Time left until the deadline, in milliseconds. */
  timeLeftMs: number;
  /** Time in which an answer is of use to the caller, in milliseconds. */
  usefulMs: number;
  /** Whether the job may use only some of the workers. */
  isConfined: boolean;
  /** Current time on the monotonic clock, in milliseconds. */
  now: number;
}

/** Logs whether a job is admitted, and what the entry knew of the workers. */
export function recordAdmission(
  log: EventLog,
  options: RecordAdmissionOptions,
): void {
  const { job, route, decision, loads, placements } = options;
  log.record("job_admission", {
    job: job.id,
    route: route.name,
    tasks: options.taskCount,
    timeLeftMs: Math.round(options.timeLeftMs),
    usefulMs: Math.round(options.usefulMs),
    workers: loads.length,
    freeWorkers: countWorkersWithRoom(loads, job),
    reportAgeMs: getOldestReportAgeMs(loads, placements, options.now),
    isConfined: options.isConfined || undefined,
    priority: route.priority,
    expectedMs: job.steps[0]?.expectedMs,
    ...decision,
    placed: placements.map(formatPlacedTask),
  });
}

/** Counts the workers with room for a task of each of the job's steps. */
function countWorkersWithRoom(
  loads: readonly WorkerLoad[],
  { steps }: BatchJob,
): number {
  return loads.filter(({ free }) =>
    steps.every(({ resources }) => hasRoom(free, resources))
  ).length;
}

/**
 * Gets the age of the oldest report of the workers on which tasks are placed, in
 * milliseconds; undefined without such a worker.
 */
function getOldestReportAgeMs(
  loads: readonly WorkerLoad[],
  placements: readonly PlacedTask[],
  now: number,
): number | undefined {
  const agentIds = new Set(placements.map(({ agentId }) => agentId));
  const agesMs = loads.filter(({ agentId }) => agentIds.has(agentId))
    .map(({ reportedAt }) => now - reportedAt);
  return agesMs.length === 0 ? undefined : Math.round(Math.max(...agesMs));
}
