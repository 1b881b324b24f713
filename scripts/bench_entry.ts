/**
 * Measures the processor time that a job costs an entry and the agents of the
 * platform, and the entry's reads and writes of sockets and files with their bytes. Starts one entry and several agents as processes, with stand-ins
 * for the store and the workers, and submits jobs at a fixed rate.
 */
import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import sade from "sade";
import {
  formatOperatorConfig,
  sendJob,
  type StandInTask,
} from "../platform/stand_in/mod.ts";
import { HttpClient } from "../src/transport/http/mod.ts";
import type { Route } from "../src/state/batch/mod.ts";
import { SoakCluster } from "./soak/soak_cluster.ts";

const ROUTE: Route = {
  name: "bench",
  host: "bench.example",
  pathPrefix: "/bench/",
  service: "bench",
  priority: 0,
  timeoutMs: 3_000,
  maxAttempts: 3,
  stretch: 1.6,
  latencyTargetMs: 60,
  maxLateness: 4,
};

/** Shapes of the jobs, which are submitted in turn. */
const JOB_SHAPES = [
  { tasks: 2, runMs: 286 },
  { tasks: 8, runMs: 86 },
  { tasks: 2, runMs: 286 },
  { tasks: 2, runMs: 286 },
] as const;

const TASK_CPU_MILLIS = 2_000;

/** Time for the entry to find the agents, in milliseconds. */
const WARM_UP_MS = 1_500;

/** Counters of `/proc/PID/io`: bytes and system calls that read and wrote. */
const CALL_COUNTERS = ["rchar", "wchar", "syscr", "syscw"] as const;

interface BenchOptions {
  agents: string;
  rate: string;
  seconds: string;
  dist?: string;
}

sade("bench_entry", true)
  .describe("Measures the processor time of entries and agents for each job.")
  .option("--agents", "Number of agents", "17")
  .option("--rate", "Jobs per second", "40")
  .option("--seconds", "Time for which jobs are submitted", "15")
  .option("--dist", "Folder of the compiled files of another build")
  .action((options: BenchOptions) => runBench(options))
  .parse(process.argv);

async function runBench(options: BenchOptions): Promise<void> {
  const tasks = new Map<string, StandInTask>();
  const folder = mkdtempSync(join(tmpdir(), "bench-entry-"));
  const cluster = new SoakCluster({
    folder,
    entries: 1,
    agents: Number(options.agents),
    zones: ["a", "b", "c"],
    services: [ROUTE.service],
    findTask: (name) => tasks.get(name.slice(0, name.indexOf("."))),
    onEvent: () => {},
  });
  await cluster.start(options.dist);
  const config = formatOperatorConfig({ version: 1, routes: [ROUTE] });
  cluster.store.publish(config.key, config.value);
  await cluster.waitUntilReady();
  await wait(WARM_UP_MS);
  const before = await readProcessorSeconds(cluster);
  const callsBefore = readEntryCalls(cluster);
  const counts = await submitJobs(cluster, tasks, options);
  const after = await readProcessorSeconds(cluster);
  const callsAfter = readEntryCalls(cluster);
  const jobCount = Number(options.rate) * Number(options.seconds);
  const getCostMs = (role: "entry" | "agents") =>
    Number((1_000 * (after[role] - before[role]) / jobCount).toFixed(3));
  console.log(JSON.stringify({
    jobs: jobCount,
    outcomes: Object.fromEntries(counts),
    entryMsPerJob: getCostMs("entry"),
    agentsMsPerJob: getCostMs("agents"),
    entryCallsPerJob: Object.fromEntries(
      CALL_COUNTERS.map((name, index) => [
        name,
        Number((((callsAfter[index] ?? NaN) - (callsBefore[index] ?? NaN)) /
          jobCount).toFixed(1)),
      ]),
    ),
    folder,
  }));
  await cluster.stop();
}

async function submitJobs(
  cluster: SoakCluster,
  tasks: Map<string, StandInTask>,
  { rate, seconds }: BenchOptions,
): Promise<Map<string, number>> {
  const client = new HttpClient({ maxConnections: 32 });
  const address = cluster.entries[0]?.jobAddress ?? "";
  const outcomes = new Map<string, number>();
  const pending: Promise<void>[] = [];
  const startedAt = performance.now();
  for (let n = 0; n < Number(rate) * Number(seconds); n++) {
    await wait(startedAt + 1_000 * n / Number(rate) - performance.now());
    const shape = JOB_SHAPES[n % JOB_SHAPES.length] ?? JOB_SHAPES[0];
    const id = n.toString(16).padStart(16, "0");
    tasks.set(id, { cpuMillis: TASK_CPU_MILLIS, runMs: shape.runMs });
    const job = {
      id,
      spec: "x".repeat(150),
      steps: 1,
      tasksPerStep: shape.tasks,
      cpuMillis: TASK_CPU_MILLIS,
      expectedMs: shape.runMs,
    };
    pending.push(
      sendJob({
        job,
        client,
        address,
        host: ROUTE.host,
        pathPrefix: ROUTE.pathPrefix,
        deadlineMs: ROUTE.timeoutMs,
        clientTimeoutMs: ROUTE.timeoutMs,
      }).then((reply) => {
        const outcome = reply.match(
          ({ status, state }) => `${status} ${state ?? ""}`,
          ({ kind }) => kind,
        );
        outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
      }),
    );
  }
  await Promise.all(pending);
  client.close();
  return outcomes;
}

/** Reads the processor time that the processes have used, in seconds. */
async function readProcessorSeconds(
  cluster: SoakCluster,
): Promise<{ entry: number; agents: number }> {
  const readAll = async (ports: readonly number[]) => {
    let sum = 0;
    for (const port of ports) {
      const response = await fetch(`http://127.0.0.1:${port}/metrics`);
      const match = /process_cpu_seconds ([\d.]+)/.exec(await response.text());
      sum += Number(match?.[1] ?? NaN);
    }
    return sum;
  };
  return {
    entry: await readAll(cluster.entries.map(({ metricsPort }) => metricsPort)),
    agents: await readAll(cluster.agents.map(({ metricsPort }) => metricsPort)),
  };
}

/** Reads the counters of the entry's reads and writes, in the order of their names. */
function readEntryCalls(cluster: SoakCluster): number[] {
  const pid = cluster.entries[0]?.process.pid;
  const text = readFileSync(`/proc/${pid}/io`, "utf8");
  return CALL_COUNTERS.map((name) =>
    Number(new RegExp(`${name}: (\\d+)`).exec(text)?.[1] ?? NaN)
  );
}
