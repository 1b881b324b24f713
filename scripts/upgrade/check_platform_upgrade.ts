import { readdirSync, readFileSync, rmSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { DisturbanceHistory } from "../soak/disturbance_history.ts";
import { SoakClients } from "../soak/soak_clients.ts";
import { SoakCluster } from "../soak/soak_cluster.ts";
import { SoakOperator } from "../soak/soak_operator.ts";
import { SoakOracle } from "../soak/soak_oracle.ts";
import type { SoakProcess } from "../soak/soak_process.ts";
import { runCtl } from "./run_ctl.ts";

const ZONES = ["a", "b", "c"] as const;
const SERVICES = ["render", "stamp"] as const;
const SEED = 7;

/**
 * Jobs for each job of the soak's usual rate: the check is not about overload,
 * in which jobs are refused.
 */
const RATE_FACTOR = 0.5;

/** Jobs that must all be served in each mix of the two builds. */
const JOBS_PER_MIX = 20;

/** Time after the start in which the agents become known, in milliseconds. */
const WARM_UP_MS = 6_000;

/** Time for a stop, a start and what was unknown after it, in milliseconds. */
const EXCHANGE_MS = 5_000;

/** Time after the last job in which all runs have ended, in milliseconds. */
const QUIET_MS = 2_500;

export interface CheckPlatformUpgradeOptions {
  /** Folder of this build's compiled files. */
  thisDist: string;
  otherDist: string;
  /** Folder for settings and logs. */
  folder: string;
}

/**
 * Exchanges the programs of the platform between two builds under load, with
 * the clients and the oracle of the soak.
 * @returns What did not work.
 */
export async function checkPlatformUpgrade(
  options: CheckPlatformUpgradeOptions,
): Promise<string[]> {
  const { thisDist, otherDist, folder } = options;
  rmSync(folder, { recursive: true, force: true });
  const disturbances = new DisturbanceHistory();
  const oracle = new SoakOracle(disturbances);
  const cluster = new SoakCluster({
    ...{ folder, entries: 2, agents: 4, zones: ZONES, services: SERVICES },
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
    ...{ seed: SEED, entries: cluster.entries, oracle, disturbances },
    getRoutes: () => operator.getServedRoutes(),
  });
  const { entries, agents } = cluster;
  let lastJob = "";
  try {
    await cluster.start();
    operator.changeRoutes();
    await cluster.waitUntilReady();
    clients.rateFactor = RATE_FACTOR;
    const load = clients.run();
    await checkMix("all of this build");
    await exchange(entries, otherDist);
    await checkMix("entries of the other build, agents of this one");
    await exchange(agents, otherDist);
    await checkMix("all of the other build");
    await exchange(entries, thisDist);
    await checkMix("entries of this build, agents of the other one");
    await exchange(agents, thisDist);
    await checkMix("all of this build, after the other one");
    await clients.stop();
    await load;
    await wait(QUIET_MS);
    oracle.checkFinalState();
  } finally {
    clients.close();
    await cluster.stop();
  }
  console.log(
    `platform: ${oracle.jobCount} jobs, ${oracle.startCount} starts, ${
      JSON.stringify(clients.outcomeCounts)
    }`,
  );
  return [...oracle.violations, ...checkExplain()];

  async function checkMix(name: string): Promise<void> {
    await cluster.waitUntilReady();
    await wait(WARM_UP_MS);
    const before = oracle.violations.length;
    const ids = await clients.runProbeJobs(JOBS_PER_MIX);
    oracle.checkAllCompleted(ids);
    lastJob = ids.at(-1) as string;
    const found = oracle.violations.length - before;
    console.log(`platform, ${name}: ${JOBS_PER_MIX} jobs, ${found} findings`);
  }

  async function exchange(
    members: readonly { process: SoakProcess }[],
    dist: string,
  ): Promise<void> {
    for (const { process } of members) {
      // A planned stop of an entry must not be seen by its clients.
      const isSeen = agents.some((agent) => agent.process === process);
      if (isSeen) {
        disturbances.recordBegin(process.name);
      }
      process.dist = dist;
      process.sendSignal("SIGTERM");
      await wait(EXCHANGE_MS);
      if (isSeen) {
        disturbances.recordEnd(process.name);
      }
    }
  }

  /** Compares what both builds explain from the log lines of both. */
  function checkExplain(): string[] {
    const files = readdirSync(folder).filter((name) => name.endsWith(".log"))
      .map((name) => join(folder, name));
    const bytes = files.reduce(
      (sum, file) => sum + readFileSync(file).length,
      0,
    );
    console.log(`platform: ${bytes} bytes of log lines`);
    const [first, second] = [thisDist, otherDist].map((dist) =>
      runCtl(dist, ["explain", lastJob, ...files])
    );
    return first !== undefined && first === second
      ? []
      : [`ctl explain ${lastJob} differs`];
  }
}
