import { loadavg } from "node:os";
import { createJobs } from "./create_jobs.ts";
import { createLoadReport } from "./create_load_report.ts";
import type { LoadEvent } from "./load_event.ts";
import type { LoadReport } from "./load_report.ts";
import { LoadRun } from "./load_run.ts";
import type { LoadScenario } from "./load_scenario.ts";
import type { ClusterShape } from "./cluster_shape.ts";
import { readCounters } from "./read_counters.ts";
import type { TaskExecution } from "./task_execution.ts";

/** Deadline that each job states, in milliseconds. */
const DEADLINE_MS = 10_000;

export interface RunLoadOptions {
  scenario: LoadScenario;
  shape: ClusterShape;
  seed: number;
  /** Name of the placement policy that the cluster uses, for the report. */
  placement: string;
  /** `host:port` of each entry. */
  entryAddresses: readonly string[];
  /** `host:port` of each agent whose counters are read. */
  agentAddresses?: readonly string[];
  /** Applies an event other than a cancellation to the cluster. */
  applyEvent: (event: LoadEvent) => Promise<void>;
  /**
   * Reads the task executions at the workers, if their records can be read.
   * `startedAt` is the wall-clock time of the start, in milliseconds.
   */
  readExecutions?: (startedAt: number) => Promise<TaskExecution[]>;
}

/** Runs a load scenario against a running cluster and gets its report. */
export async function runLoad(options: RunLoadOptions): Promise<LoadReport> {
  const { scenario, shape, seed, entryAddresses, agentAddresses = [] } =
    options;
  const keyPrefix = `load-${Date.now().toString(36)}`;
  const jobs = createJobs({ scenario, shape, seed, keyPrefix });
  const run = new LoadRun({
    jobs,
    events: scenario.events,
    durationMs: scenario.durationMs,
    entryAddresses,
    clientLatencyMs: shape.clientLatencyMs,
    deadlineMs: DEADLINE_MS,
    seed,
    applyEvent: options.applyEvent,
  });
  const addresses = [...entryAddresses, ...agentAddresses];
  const before = await readCounters(addresses);
  const loadBefore = getLoadAverage();
  const results = await run.run();
  const after = await readCounters(addresses);
  const counters = new Map(
    [...after].map((
      [name, count],
    ) => [name, count - (before.get(name) ?? 0)]),
  );
  const keys = new Set(jobs.map((job) => job.key));
  const executions = await options.readExecutions?.(run.startedAt);
  return createLoadReport({
    scenario,
    shape,
    seed,
    placement: options.placement,
    startedAt: run.startedAt,
    loadAverage: [loadBefore, getLoadAverage()],
    results,
    counters,
    executions: executions?.filter((execution) => keys.has(execution.key)),
  });
}

function getLoadAverage(): number {
  return Math.round((loadavg()[0] ?? 0) * 100) / 100;
}
