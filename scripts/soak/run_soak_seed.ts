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

/** Time after the last fault in which the system recovers, in milliseconds. */
const RECOVERY_MS = 6_000;

/** Jobs that must all be served after the recovery. */
const ORDINARY_JOBS = 20;

/** Time after the last job in which all runs have ended, in milliseconds. */
const QUIET_MS = 2_500;

export interface SoakSeedOptions {
  seed: number;
  /** Length of the time with faults, in milliseconds. */
  lengthMs: number;
  entries: number;
  agents: number;
  /** Folder for settings and logs. */
  folder: string;
}

/** Runs the programs under the faults of one seed. */
export async function runSoakSeed(
  options: SoakSeedOptions,
): Promise<SoakResult> {
  const { seed, lengthMs, entries, agents, folder } = options;
  const disturbances = new DisturbanceHistory();
  const oracle = new SoakOracle(disturbances);
  const cluster = new SoakCluster({
    ...{ folder, entries, agents, zones: ZONES, services: SERVICES },
    findTask: (task) => {
      const job = oracle.getJob(task.slice(0, task.indexOf(".")));
      return job === undefined
        ? undefined
        : { cpuMillis: job.cpuMillis, runMs: job.expectedMs };
    },
    onEvent: (event, place) => oracle.handleEvent(event, place),
  });
  const operator = new SoakOperator({
    ...{ store: cluster.store, oracle, services: SERVICES },
  });
  const clients = new SoakClients({
    ...{ seed, entries: cluster.entries, oracle, disturbances },
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
    const open: Promise<void>[] = [];
    for (const fault of plan) {
      await wait(Math.max(0, startedAt + fault.atMs - performance.now()));
      open.push(
        applySoakFault(fault, { cluster, clients, operator, disturbances }),
      );
    }
    await Promise.all(open);
    await wait(RECOVERY_MS);
    await clients.stop();
    await load;
    const ids = await clients.runProbeJobs(ORDINARY_JOBS);
    oracle.checkAllCompleted(ids);
    await wait(QUIET_MS);
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
