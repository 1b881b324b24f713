import { spawn } from "node:child_process";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { Cluster, type ClusterProcess } from "../lib/cluster.ts";
import { runCtl } from "./run_ctl.ts";

/** Number of jobs that are sent in each mix of the two builds. */
const JOBS_PER_MIX = 10;

const TASKS_PER_JOB = 20;
const RUN_MS = 20;

/**
 * Maximum submissions of one job during a replacement, and the pause between
 * them.
 */
const RESEND = { submissions: 20, pauseMs: 1_000 } as const;

/** Pause between jobs while processes are replaced. */
const JOB_PAUSE_MS = 50;

export interface CheckClusterUpgradeOptions {
  /** Folder of this build's compiled files. */
  thisDist: string;
  /** Folder of the other build's compiled files. */
  otherDist: string;
}

/**
 * Replaces the entries and agents of a cluster by those of another build and
 * back, with one log for both builds, and sends jobs in each mix.
 * @returns The problems that were found.
 */
export async function checkClusterUpgrade(
  options: CheckClusterUpgradeOptions,
): Promise<string[]> {
  const cluster = new Cluster({
    entryZones: ["a", "b"],
    agentZones: ["a", "b", "c"],
    services: ["preview"],
  });
  const problems: string[] = [];
  let weight = 0;
  const { thisDist, otherDist } = options;
  const { entries, agents } = cluster;
  try {
    await cluster.start();
    await checkMix("all of this build");
    await replaceProcesses(entries, otherDist);
    await checkMix("entries of the other build, agents of this one");
    await replaceProcesses(agents, otherDist);
    await checkMix("all of the other build");
    await replaceProcesses(entries, thisDist);
    await checkMix("entries of this build, agents of the other one");
    await replaceProcesses(agents, thisDist);
    await checkMix("all of this build, after the other one");
  } finally {
    await cluster.stop();
  }
  return problems;

  async function checkMix(name: string): Promise<void> {
    await cluster.waitUntilReady();
    let completedCount = 0;
    for (let n = 0; n < JOBS_PER_MIX; n++) {
      const entry = entries[n % entries.length] as ClusterProcess;
      const status = await sendJob(entry, `${name}/${n}`);
      completedCount += status === "complete" ? 1 : 0;
    }
    console.log(
      `${name}: ${completedCount} of ${JOBS_PER_MIX} jobs complete`,
    );
    if (completedCount < JOBS_PER_MIX) {
      problems.push(
        `${name}: ${JOBS_PER_MIX - completedCount} jobs not complete`,
      );
    }
    checkCtl(name);
  }

  /** Runs ctl commands of both builds, and compares their output. */
  function checkCtl(name: string): void {
    const log = ["--log", cluster.logAddress];
    for (const dist of [thisDist, otherDist]) {
      const path = "customers.upgrade.weight";
      if (
        runCtl(dist, [...log, "settings", "set", path, String(++weight)]) ===
          undefined
      ) {
        problems.push(`${name}: the build in ${dist} did not publish a change`);
      }
    }
    for (
      const args of [
        ["settings", "get"],
        ["settings", "get", "--resolved", "preview"],
        ["timeline", `${name}/0`, "--customer", "upgrade"],
        ["status"],
      ]
    ) {
      const [first, second] = [thisDist, otherDist].map((dist) =>
        runCtl(dist, [...log, ...args])
      );
      // The status contains times, which differ between two calls.
      const isConsistent = args[0] === "status"
        ? first !== undefined && second !== undefined
        : first !== undefined && first === second;
      if (!isConsistent) {
        problems.push(`${name}: ctl ${args.join(" ")} differs`);
      }
    }
  }

  /** Replaces processes one after the other while jobs are sent. */
  async function replaceProcesses(
    processes: readonly ClusterProcess[],
    dist: string,
  ): Promise<void> {
    const counts = new Map<string, number>();
    for (const process of processes) {
      const target = entries.find((entry) => entry !== process);
      const sending = { isStopped: false };
      const sendingEnded = sendJobs(target as ClusterProcess, counts, sending);
      await cluster.stopProcess(process);
      startFromBuild(process, dist);
      await cluster.waitUntilReady();
      sending.isStopped = true;
      await sendingEnded;
    }
    console.log(
      `  replaced ${processes.length} processes, submissions: ${
        JSON.stringify(Object.fromEntries(counts))
      }`,
    );
  }

  /** Sends jobs, each until it is complete or the limit is reached. */
  async function sendJobs(
    entry: ClusterProcess,
    counts: Map<string, number>,
    sending: { isStopped: boolean },
  ): Promise<void> {
    while (!sending.isStopped) {
      const key = `exchange/${performance.now()}`;
      let status = "";
      for (let n = 0; n < RESEND.submissions && status !== "complete"; n++) {
        await wait(n === 0 ? JOB_PAUSE_MS : RESEND.pauseMs);
        status = await sendJob(entry, key);
        counts.set(status, (counts.get(status) ?? 0) + 1);
      }
      if (status !== "complete") {
        problems.push(`${key}: ${status}`);
      }
    }
  }
}

async function sendJob(entry: ClusterProcess, key: string): Promise<string> {
  const body = JSON.stringify({ runMs: RUN_MS });
  const response = await fetch(`http://${entry.httpAddress}/v1/jobs`, {
    method: "POST",
    headers: { "idempotency-key": key, "x-customer": "upgrade" },
    body: JSON.stringify({
      service: "preview",
      tasks: Array.from(
        { length: TASKS_PER_JOB },
        () => ({ body, repeatable: true }),
      ),
    }),
  });
  const answer = await response.json() as {
    status?: string;
    error?: { kind?: string };
  };
  return answer.status ?? answer.error?.kind ?? String(response.status);
}

/** Restarts a stopped process from the compiled files of a build. */
function startFromBuild(clusterProcess: ClusterProcess, dist: string): void {
  const [name, args] = clusterProcess.command;
  clusterProcess.child = spawn(
    process.execPath,
    [join(dist, "src/bin", `${name}.js`), ...args],
    { stdio: ["ignore", "ignore", "inherit"] },
  );
}
