import { getCapacity } from "./get_capacity.ts";
import { LOAD_CUSTOMERS } from "./load_customers.ts";
import type { LoadScenario } from "./load_scenario.ts";
import { LOAD_SERVICES } from "./load_services.ts";
import type { ClusterShape } from "./cluster_shape.ts";
import type { PlannedJob } from "./planned_job.ts";
import { Random } from "./random.ts";

/** Shares of the jobs by number of tasks; both bounds are inclusive. */
const JOB_SIZES = [
  { share: 0.6, min: 1, max: 10 },
  { share: 0.3, min: 11, max: 40 },
  { share: 0.1, min: 41, max: 150 },
] as const;

/** Share of the jobs whose tasks may run more than once. */
const REPEATABLE_SHARE = 0.5;

/**
 * Range of the ratio of the time limit that a job states for a task to the run
 * time of the task.
 */
const TIMEOUT_FACTOR_RANGE = [4, 100] as const;

export interface CreateJobsOptions {
  scenario: LoadScenario;
  shape: ClusterShape;
  seed: number;
  /** Prefix of the job keys; distinguishes load runs on the same cluster. */
  keyPrefix?: string;
}

/**
 * Creates the jobs of a load run. The same options give the same jobs. Random
 * jobs are created until their total work reaches the load times the capacity
 * times the duration, so that runs with different seeds offer the same load.
 * The arrival times are independent and random: a Poisson process conditioned
 * on the total work.
 */
export function createJobs(options: CreateJobsOptions): PlannedJob[] {
  const { scenario, shape, seed, keyPrefix = "load" } = options;
  const random = new Random(seed);
  const targetWorkMs = scenario.load * getCapacity(shape) * scenario.durationMs;
  const jobs: PlannedJob[] = [];
  for (let work = 0; work < targetWorkMs;) {
    const job = {
      ...createRandomTasks(random),
      key: `${keyPrefix}-${seed}-${jobs.length}`,
      customer: selectCustomer(random),
      repeatable: random.getFloat() < REPEATABLE_SHARE,
      entry: random.getInt(0, shape.entryZones.length - 1),
      arrivalMs: getRandomArrivalMs(scenario, random),
    };
    jobs.push(job);
    work += job.runMs.reduce((sum, runMs) => sum + runMs, 0);
  }
  return jobs.sort((a, b) => a.arrivalMs - b.arrivalMs);
}

function createRandomTasks(
  random: Random,
): Pick<PlannedJob, "service" | "runMs" | "timeoutMs"> {
  const service = selectByShare(LOAD_SERVICES, random);
  const size = selectByShare(JOB_SIZES, random);
  const runMs: number[] = [];
  const timeoutMs: number[] = [];
  for (let rest = random.getInt(size.min, size.max); rest > 0; rest--) {
    const isLong = random.getFloat() < service.longShare;
    const [min, max] = isLong ? service.longMs : service.runMs;
    const time = Math.round(random.getLogUniform(min, max));
    runMs.push(time);
    const factor = random.getLogUniform(...TIMEOUT_FACTOR_RANGE);
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

/**
 * Creates a random arrival time. Times within a burst are more likely by the
 * factor of the burst.
 */
function getRandomArrivalMs(scenario: LoadScenario, random: Random): number {
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
