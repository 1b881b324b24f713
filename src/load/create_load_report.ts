import { getReferenceResponseTimesMs } from "./get_reference_response_times_ms.ts";
import { getMaxWorkBySecond } from "./get_max_work_by_second.ts";
import { getCapacity } from "./get_capacity.ts";
import { getLatencyBreakdown } from "./get_latency_breakdown.ts";
import { getFairShares } from "./get_fair_shares.ts";
import { getLowerBoundMs } from "./get_lower_bound_ms.ts";
import { getMessageStats } from "./get_message_stats.ts";
import { getPercentiles } from "./get_percentiles.ts";
import { getWorkBySecond } from "./get_work_by_second.ts";
import type { JobResult } from "./job_result.ts";
import { LOAD_CUSTOMERS } from "./load_customers.ts";
import type { LoadReport } from "./load_report.ts";
import type { LoadScenario } from "./load_scenario.ts";
import type { ClusterShape } from "./cluster_shape.ts";
import type { TaskExecution } from "./task_execution.ts";

/**
 * Start of the window in which goodput is measured, as a share of the run: the
 * queues have filled by then.
 */
const GOODPUT_WINDOW_START = 0.25;

/**
 * Time after the last zone event until which the work of a zone change is
 * measured, in milliseconds.
 */
const ZONE_RECOVERY_MS = 5_000;

export interface LoadReportOptions {
  scenario: LoadScenario;
  shape: ClusterShape;
  seed: number;
  placement: string;
  startedAt: number;
  loadAverage: [number, number];
  /** Results, in order of the arrivals of the jobs. */
  results: readonly JobResult[];
  /** Increase of each counter during the run, summed over the processes. */
  counters: ReadonlyMap<string, number>;
  /** Task executions at the workers, if the workers' records can be read. */
  executions?: readonly TaskExecution[] | undefined;
}

/** Creates the report of a load run. */
export function createLoadReport(options: LoadReportOptions): LoadReport {
  const { scenario, shape, results, executions, counters } = options;
  const tasks = results.reduce((sum, { job }) => sum + job.runMs.length, 0);
  const refused = results.filter((result) => result.outcome === "not run");
  return {
    scenario: scenario.name,
    shape: shape.name,
    seed: options.seed,
    placement: options.placement,
    load: scenario.load,
    startedAt: new Date(options.startedAt).toISOString(),
    loadAverage: options.loadAverage,
    jobs: results.length,
    tasks,
    lateMs: getPercentiles(results.map((result) => result.lateMs)),
    response: createResponseReport(results, shape),
    answers: getCounts(results.map((result) => result.kind)),
    taskFailures: getCounts(results.flatMap((result) => result.taskKinds)),
    refusalMs: getPercentiles(refused.map(getResponseMs)),
    goodput: getGoodput(options),
    fairness: createFairnessReport(options),
    messages: getMessageStats({ results, executions, counters }),
    ...(executions === undefined ? {} : {
      work: createWorkReport(options, executions),
      delays: getLatencyBreakdown(results, executions, shape),
    }),
    ...createFailingWorkerReport(options),
  };
}

function createResponseReport(
  results: readonly JobResult[],
  shape: ClusterShape,
): LoadReport["response"] {
  const reference = getReferenceResponseTimesMs(
    results.map((result) => result.job),
    shape,
  );
  const rows = results.map((result, position) => ({
    result,
    ms: getResponseMs(result),
    ideal: getLowerBoundMs(result.job.runMs, shape),
    reference: reference[position] ?? 0,
  }));
  const complete = rows.filter(({ result }) => result.kind === "complete");
  return {
    ms: getPercentiles(complete.map((row) => row.ms)),
    overIdeal: getPercentiles(complete.map((row) => row.ms / row.ideal)),
    overReference: getPercentiles(
      complete.map((row) => row.ms / row.reference),
    ),
    referenceOverIdeal: getPercentiles(
      rows.map((row) => row.reference / row.ideal),
    ),
  };
}

function getResponseMs(result: JobResult): number {
  return (result.answeredMs ?? Infinity) - result.job.arrivalMs;
}

function getWorkMs(result: JobResult): number {
  return result.job.runMs.reduce((sum, runMs) => sum + runMs, 0);
}

/**
 * Finds the complete jobs that were answered within the window in which goodput
 * is measured.
 */
function findAnsweredInWindow(options: LoadReportOptions): JobResult[] {
  const { durationMs } = options.scenario;
  return options.results.filter(({ kind, answeredMs = Infinity }) =>
    kind === "complete" && answeredMs >= durationMs * GOODPUT_WINDOW_START &&
    answeredMs < durationMs
  );
}

function getGoodput(options: LoadReportOptions): number {
  const { durationMs } = options.scenario;
  const windowMs = durationMs * (1 - GOODPUT_WINDOW_START);
  const done = findAnsweredInWindow(options).reduce(
    (sum, r) => sum + getWorkMs(r),
    0,
  );
  return done / (windowMs * getCapacity(options.shape));
}

function createFairnessReport(
  options: LoadReportOptions,
): LoadReport["fairness"] {
  const windowShare = 1 - GOODPUT_WINDOW_START;
  const inWindow = findAnsweredInWindow(options);
  const getSum = (results: readonly JobResult[], customer: string) =>
    results.reduce(
      (sum, r) => r.job.customer === customer ? sum + getWorkMs(r) : sum,
      0,
    );
  const customers = Object.entries(LOAD_CUSTOMERS);
  const demands = new Map(
    customers.map((
      [name, { weight }],
    ) => [name, {
      work: getSum(options.results, name) * windowShare,
      weight,
    }]),
  );
  const capacity = getCapacity(options.shape) * options.scenario.durationMs *
    windowShare;
  const entitled = getFairShares(demands, capacity);
  return Object.fromEntries(customers.map(([name]) => {
    const completed = getSum(inWindow, name);
    return [name, {
      offered: (demands.get(name)?.work ?? 0) / capacity,
      completed: completed / capacity,
      ofEntitled: completed / (entitled.get(name) ?? 1),
    }];
  }));
}

function createWorkReport(
  options: LoadReportOptions,
  executions: readonly TaskExecution[],
): LoadReport["work"] {
  const { scenario, shape, results } = options;
  const seconds = Math.ceil(scenario.durationMs / 1_000);
  const events = scenario.events.filter((event) => event.type === "zone");
  const isOut = (zone: string | undefined, timeMs: number) =>
    events.findLast((event) => event.zone === zone && event.atMs <= timeMs)
      ?.state === "out";
  const complete = new Set(
    results.filter((r) => r.kind === "complete").map((r) => r.job.key),
  );
  const doneBySecond = getWorkBySecond(executions, {
    speeds: shape.speeds,
    seconds,
    isCounted: (execution, timeMs) =>
      complete.has(execution.key) &&
      !isOut(shape.agentZones[execution.worker], timeMs),
  });
  const jobs = results.map((result) => result.job);
  const allowedBySecond = getMaxWorkBySecond(jobs, { shape, events, seconds });
  const from = events[0]?.atMs ?? 0;
  const to = (events[events.length - 1]?.atMs ?? 0) + ZONE_RECOVERY_MS;
  const getSum = (values: number[]) =>
    values.slice(Math.floor(from / 1_000), Math.ceil(to / 1_000)).reduce(
      (sum, value) => sum + value,
      0,
    );
  const zoneChangeShare = events.length === 0
    ? undefined
    : getSum(doneBySecond) / getSum(allowedBySecond);
  return { doneBySecond, allowedBySecond, zoneChangeShare };
}

function createFailingWorkerReport(
  options: LoadReportOptions,
): Pick<LoadReport, "failingWorker"> {
  const { scenario, results, executions } = options;
  const event = scenario.events.find((event) =>
    event.type === "behavior" && event.mode === "failing"
  );
  if (event?.type !== "behavior") {
    return {};
  }
  const afterMs = event.atMs + 1_000;
  const later = results.filter(({ job }) => job.arrivalMs >= afterMs);
  const tasks = later.reduce((sum, { job }) => sum + job.runMs.length, 0);
  const lost = later.flatMap((result) => result.taskKinds)
    .filter((kind) => kind === "upstream_failed").length;
  const lostJobs = later.filter(({ kind }) => kind === "upstream_failed");
  const laterExecutions = executions?.filter((execution) =>
    execution.startMs >= afterMs
  );
  const atWorker = laterExecutions?.filter((execution) =>
    execution.worker === event.worker
  );
  return {
    failingWorker: {
      lostTaskShare: lost / tasks,
      lostJobShare: lostJobs.length / later.length,
      startShare: atWorker === undefined || laterExecutions === undefined
        ? undefined
        : atWorker.length / laterExecutions.length,
    },
  };
}

function getCounts(kinds: readonly string[]): { [kind: string]: number } {
  const counts: { [kind: string]: number } = {};
  for (const kind of kinds) {
    counts[kind] = (counts[kind] ?? 0) + 1;
  }
  return counts;
}
