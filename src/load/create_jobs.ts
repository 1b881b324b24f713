import { getCapacity } from "./get_capacity.ts";
import { LOAD_CUSTOMERS } from "./load_customers.ts";
import type { LoadScenario } from "./load_scenario.ts";
import { LOAD_SERVICES } from "./load_services.ts";
import type { ClusterShape } from "./cluster_shape.ts";
import type { PlannedJob } from "./planned_job.ts";
import { Random } from "./random.ts";

/** Shares of the jobs by their number of tasks, both bounds included. */
const SIZES = [
  { share: 0.6, min: 1, max: 10 },
  { share: 0.3, min: 11, max: 40 },
  { share: 0.1, min: 41, max: 150 },
] as const;

/** Share of the jobs whose tasks may be repeated. */
const REPEATABLE_SHARE = 0.5;

/**
 * Range of the factor by which the stated time limit of a task exceeds its run
 * time.
 */
const TIMEOUT_FACTOR = [4, 100] as const;

export interface CreateJobsOptions {
  scenario: LoadScenario;
  shape: ClusterShape;
  seed: number;
  /** Makes the keys of different runs on one cluster different. */
  keyPrefix?: string;
}

/**
 * Creates the jobs of a run. The same options give the same jobs. Jobs are
 * drawn until their work reaches the load times the capacity, and arrive at
 * independent random times (a Poisson process of which the amount of work is
 * known), so that runs with different seeds offer the same load.
 */
export function createJobs(options: CreateJobsOptions): PlannedJob[] {
  const { scenario, shape, seed, keyPrefix = "load" } = options;
  const random = new Random(seed);
  const target = scenario.load * getCapacity(shape) * scenario.durationMs;
  const jobs: PlannedJob[] = [];
  for (let work = 0; work < target;) {
    const job = {
      ...createTasks(random),
      key: `${keyPrefix}-${seed}-${jobs.length}`,
      customer: selectCustomer(random),
      repeatable: random.getFloat() < REPEATABLE_SHARE,
      entry: random.getInt(0, shape.entryZones.length - 1),
      arrivalMs: createArrivalMs(scenario, random),
    };
    jobs.push(job);
    work += job.runMs.reduce((sum, runMs) => sum + runMs, 0);
  }
  return jobs.sort((a, b) => a.arrivalMs - b.arrivalMs);
}

function createTasks(
  random: Random,
): Pick<PlannedJob, "service" | "runMs" | "timeoutMs"> {
  const service = selectByShare(LOAD_SERVICES, random);
  const size = selectByShare(SIZES, random);
  const runMs: number[] = [];
  const timeoutMs: number[] = [];
  for (let rest = random.getInt(size.min, size.max); rest > 0; rest--) {
    const isLong = random.getFloat() < service.longShare;
    const [min, max] = isLong ? service.longMs : service.runMs;
    const time = Math.round(random.getLogUniform(min, max));
    runMs.push(time);
    const factor = random.getLogUniform(...TIMEOUT_FACTOR);
    timeoutMs.push(Math.min(600_000, Math.round(time * factor)));
  }
  return { service: service.name, runMs, timeoutMs };
}

function selectCustomer(random: Random): string {
  const names = Object.keys(LOAD_CUSTOMERS);
  return names[random.getInt(0, names.length - 1)] as string;
}

function selectByShare<T extends { readonly share: number }>(
  choices: readonly T[],
  random: Random,
): T {
  let rest = random.getFloat();
  for (const choice of choices) {
    rest -= choice.share;
    if (rest < 0) {
      return choice;
    }
  }
  return choices[choices.length - 1] as T;
}

/** Draws an arrival time; a burst's times are more frequent by its factor. */
function createArrivalMs(scenario: LoadScenario, random: Random): number {
  const { bursts, durationMs } = scenario;
  for (;;) {
    const time = random.getFloat() * durationMs;
    const isInBurst = bursts === undefined ||
      time % bursts.everyMs < bursts.lengthMs;
    if (isInBurst || random.getFloat() < 1 / bursts.factor) {
      return time;
    }
  }
}
