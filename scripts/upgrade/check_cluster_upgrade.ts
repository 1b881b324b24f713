import { spawn } from "node:child_process";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { Cluster, type ClusterProcess } from "../lib/cluster.ts";
import { runCtl } from "./run_ctl.ts";

/** Jobs that are sent in each mix of the two builds. */
const JOBS_PER_MIX = 10;

const TASKS_PER_JOB = 20;
const RUN_MS = 20;

/** Submissions of one job while processes are exchanged, and their pause. */
const RESEND = { submissions: 20, pauseMs: 1_000 } as const;

/** Pause between jobs while processes are exchanged, in milliseconds. */
const PAUSE_MS = 50;

export interface CheckClusterUpgradeOptions {
  /** Folder of this build's compiled files. */
  thisDist: string;
  otherDist: string;
}

/**
 * Exchanges the entries and agents of a cluster between two builds, which share
 * the log, and sends jobs in each mix.
 * @returns What did not work.
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
    await exchange(entries, otherDist);
    await checkMix("entries of the other build, agents of this one");
    await exchange(agents, otherDist);
    await checkMix("all of the other build");
    await exchange(entries, thisDist);
    await checkMix("entries of this build, agents of the other one");
    await exchange(agents, thisDist);
    await checkMix("all of this build, after the other one");
  } finally {
    await cluster.stop();
  }
  return problems;

  async function checkMix(name: string): Promise<void> {
    await cluster.waitUntilReady();
    let complete = 0;
    for (let n = 0; n < JOBS_PER_MIX; n++) {
      const entry = entries[n % entries.length] as ClusterProcess;
      const status = await sendJob(entry, `${name}/${n}`);
      complete += status === "complete" ? 1 : 0;
    }
    console.log(`${name}: ${complete} of ${JOBS_PER_MIX} jobs complete`);
    if (complete < JOBS_PER_MIX) {
      problems.push(`${name}: ${JOBS_PER_MIX - complete} jobs not complete`);
    }
    checkCtl(name);
  }

  /** Runs commands of both builds and compares what they print. */
  function checkCtl(name: string): void {
    const log = ["--log", cluster.logAddress];
    for (const dist of [thisDist, otherDist]) {
      const path = "customers.upgrade.weight";
      if (
        runCtl(dist, [...log, "settings", "set", path, String(++weight)]) ===
          undefined
      ) {
        problems.push(`${name}: a change was not published by ${dist}`);
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
      // The status holds times, which differ between two calls.
      const isSame = args[0] === "status"
        ? first !== undefined && second !== undefined
        : first !== undefined && first === second;
      if (!isSame) {
        problems.push(`${name}: ctl ${args.join(" ")} differs`);
      }
    }
  }

  /** Exchanges processes one after the other while jobs are sent. */
  async function exchange(
    processes: readonly ClusterProcess[],
    dist: string,
  ): Promise<void> {
    const counts = new Map<string, number>();
    for (const process of processes) {
      const target = entries.find((entry) => entry !== process);
      const load = { isStopped: false };
      const sent = sendJobs(target as ClusterProcess, counts, load);
      await cluster.stopProcess(process);
      startFrom(process, dist);
      await cluster.waitUntilReady();
      load.isStopped = true;
      await sent;
    }
    console.log(
      `  exchanged ${processes.length} processes, submissions: ${
        JSON.stringify(Object.fromEntries(counts))
      }`,
    );
  }

  /** Sends jobs, each until it is complete or was sent too often. */
  async function sendJobs(
    entry: ClusterProcess,
    counts: Map<string, number>,
    load: { isStopped: boolean },
  ): Promise<void> {
    while (!load.isStopped) {
      const key = `exchange/${performance.now()}`;
      let status = "";
      for (let n = 0; n < RESEND.submissions && status !== "complete"; n++) {
        await wait(n === 0 ? PAUSE_MS : RESEND.pauseMs);
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

/** Starts a process, which has ended, from the programs of a build. */
function startFrom(process_: ClusterProcess, dist: string): void {
  const [name, args] = process_.command;
  process_.child = spawn(
    process.execPath,
    [join(dist, "src/bin", `${name}.js`), ...args],
    { stdio: ["ignore", "ignore", "inherit"] },
  );
}
