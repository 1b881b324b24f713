import { setTimeout as wait } from "node:timers/promises";
import { applySoakFault } from "./apply_soak_fault.ts";
import { createSoakPlan } from "./create_soak_plan.ts";
import { DisturbanceHistory } from "./disturbance_history.ts";
import { SoakClients } from "./soak_clients.ts";
import { SoakCluster } from "./soak_cluster.ts";
import { SoakOperator } from "./soak_operator.ts";
import { SoakOracle } from "./soak_oracle.ts";
import type { SoakResult } from "./soak_result.ts";

const ZONES = ["a", "b", "c"] as const;
const SERVICES = ["render", "stamp"] as const;

/** Time within which the system recovers from the last fault. */
const RECOVERY_MS = 6_000;

/** Number of jobs that must all complete after the recovery. */
const PROBE_JOB_COUNT = 20;

/** Time after the last job within which all runs must end. */
const RUN_END_MS = 2_500;

export interface SoakSeedOptions {
  seed: number;
  /** Duration of the phase with faults, in milliseconds. */
  lengthMs: number;
  entries: number;
  agents: number;
  /** Folder for settings and logs. */
  folder: string;
}

/** Runs a cluster under the faults of one seed, and checks its guarantees. */
export async function runSoakSeed(
  options: SoakSeedOptions,
): Promise<SoakResult> {
  const { seed, lengthMs, entries, agents, folder } = options;
  const disturbanceHistory = new DisturbanceHistory();
  const oracle = new SoakOracle(disturbanceHistory);
  const cluster = new SoakCluster({
    ...{ folder, entries, agents, zones: ZONES, services: SERVICES },
    findTask: (task) => {
      const job = oracle.getJob(task.slice(0, task.indexOf(".")));
      return job === undefined ? undefined : {
        cpuMillis: job.cpuMillis,
        runMs: job.expectedMs,
        crashesWorkers: job.crashesWorkers === true &&
          task.endsWith(".0.0.0"),
      };
    },
    onEvent: (event, location) => oracle.handleEvent(event, location),
  });
  const operator = new SoakOperator({
    ...{ store: cluster.store, oracle, services: SERVICES },
  });
  const clients = new SoakClients({
    ...{
      seed,
      entries: cluster.entries,
      oracle,
      disturbanceHistory,
    },
    getRoutes: () => operator.getServedRoutes(),
  });
  const plan = createSoakPlan({
    seed,
    lengthMs,
    entries,
    agents,
    zones: ZONES,
  });
  try {
    await cluster.start();
    operator.changeRoutes();
    await cluster.waitUntilReady();
    const load = clients.run();
    const startedAt = performance.now();
    const applied: Promise<void>[] = [];
    for (const fault of plan) {
      await wait(Math.max(0, startedAt + fault.atMs - performance.now()));
      applied.push(
        applySoakFault(fault, {
          cluster,
          clients,
          operator,
          oracle,
          disturbanceHistory,
        }),
      );
    }
    await Promise.all(applied);
    await wait(RECOVERY_MS);
    await clients.stop();
    await load;
    const ids = await clients.runProbeJobs(PROBE_JOB_COUNT);
    oracle.checkAllCompleted(ids);
    await wait(RUN_END_MS);
    oracle.checkFinalState();
  } finally {
    clients.close();
    await cluster.stop();
  }
  return {
    violations: oracle.violations,
    faults: plan.map((fault) => JSON.stringify(fault)),
    jobCount: oracle.jobCount,
    startCount: oracle.startCount,
    outcomeCounts: clients.outcomeCounts,
  };
}
