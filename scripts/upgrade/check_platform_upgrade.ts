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
 * Factor applied to the usual rate of the soak test, which avoids overload: an
 * overloaded system refuses jobs.
 */
const RATE_FACTOR = 0.5;

/** Number of jobs that must all complete in each mix of the two builds. */
const JOBS_PER_MIX = 20;

/** Time after a start within which the entries learn of the agents. */
const WARM_UP_MS = 6_000;

/** Time for a stop, a restart, and the recovery from what was unknown. */
const REPLACE_MS = 5_000;

/** Time after the last job within which all runs must end. */
const RUN_END_MS = 2_500;

export interface CheckPlatformUpgradeOptions {
  /** Folder of this build's compiled files. */
  thisDist: string;
  /** Folder of the other build's compiled files. */
  otherDist: string;
  /** Folder for settings and logs. */
  folder: string;
}

/**
 * Replaces the platform's entries and agents by those of another build and back
 * under load, with the clients and the oracle of the soak test.
 * @returns The problems that were found.
 */
export async function checkPlatformUpgrade(
  options: CheckPlatformUpgradeOptions,
): Promise<string[]> {
  const { thisDist, otherDist, folder } = options;
  rmSync(folder, { recursive: true, force: true });
  const disturbanceHistory = new DisturbanceHistory();
  const oracle = new SoakOracle(disturbanceHistory);
  const cluster = new SoakCluster({
    ...{ folder, entries: 2, agents: 4, zones: ZONES, services: SERVICES },
    findTask: (task) => {
      const job = oracle.getJob(task.slice(0, task.indexOf(".")));
      return job === undefined
        ? undefined
        : { cpuMillis: job.cpuMillis, runMs: job.expectedMs };
    },
    onEvent: (event, location) => oracle.handleEvent(event, location),
  });
  const operator = new SoakOperator({
    ...{ store: cluster.store, oracle, services: SERVICES },
  });
  const clients = new SoakClients({
    ...{
      seed: SEED,
      entries: cluster.entries,
      oracle,
      disturbanceHistory,
    },
    getRoutes: () => operator.getServedRoutes(),
  });
  const { entries, agents } = cluster;
  let lastJob = "";
  try {
    await cluster.start();
    operator.changeRoutes();
    await cluster.waitUntilReady();
    clients.rateFactor = RATE_FACTOR;
    const clientsRun = clients.run();
    await checkMix("all of this build");
    await replaceProcesses(entries, otherDist);
    await checkMix("entries of the other build, agents of this one");
    await replaceProcesses(agents, otherDist);
    await checkMix("all of the other build");
    await replaceProcesses(entries, thisDist);
    await checkMix("entries of this build, agents of the other one");
    await replaceProcesses(agents, thisDist);
    await checkMix("all of this build, after the other one");
    await clients.stop();
    await clientsRun;
    await wait(RUN_END_MS);
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
    const violationCount = oracle.violations.length - before;
    console.log(
      `platform, ${name}: ${JOBS_PER_MIX} jobs, ${violationCount} violations`,
    );
  }

  async function replaceProcesses(
    members: readonly { process: SoakProcess }[],
    dist: string,
  ): Promise<void> {
    for (const { process } of members) {
      // Clients must not notice the planned stop of an entry.
      const isAgent = agents.some((agent) => agent.process === process);
      if (isAgent) {
        disturbanceHistory.recordBegin(process.name);
      }
      process.distFolder = dist;
      process.sendSignal("SIGTERM");
      await wait(REPLACE_MS);
      if (isAgent) {
        disturbanceHistory.recordEnd(process.name);
      }
    }
  }

  /** Compares the output of `ctl explain` of both builds on the same logs. */
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
