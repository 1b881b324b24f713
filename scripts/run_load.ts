/**
 * Runs load scenarios against clusters of a given shape, and prints the reports
 * and a summary over the seeds. Each run starts a new cluster. For example:
 * `node dist/scripts/run_load.js --scenarios steady-70,overload-150
 * --seeds 1,2,3 --out /tmp/load.jsonl`
 */
import { appendFileSync } from "node:fs";
import sade from "sade";
import {
  CLUSTER_SHAPES,
  type ClusterShape,
  createJobs,
  formatLoadReport,
  LOAD_CUSTOMERS,
  LOAD_SCENARIOS,
  LOAD_SERVICES,
  type LoadEvent,
  type LoadReport,
  type LoadScenario,
  type PlannedJob,
  publishZoneState,
  runLoad,
  type TaskExecution,
} from "../src/load/mod.ts";
import { Cluster } from "./lib/cluster.ts";
import { formatLoadSummary } from "./lib/format_load_summary.ts";

/** Maximum number of attempts of one run. */
const MAX_ATTEMPTS = 3;

interface Options {
  scenarios: string;
  shape: string;
  seeds: string;
  placements: string;
  out?: string;
}

interface RunOptions {
  scenario: LoadScenario;
  shape: ClusterShape;
  seed: number;
  placement: string;
}

sade("run_load", true)
  .option("--scenarios", "Scenarios, separated by commas", "steady-70")
  .option("--shape", "groupement or direccion", "groupement")
  .option("--seeds", "Seeds, separated by commas", "1,2,3")
  .option(
    "--placements",
    "Placement policies, separated by commas; default leaves the setting out",
    "default",
  )
  .option("--out", "File to which the reports are appended as JSON lines")
  .action(async (options: Options) => {
    const shape = Object.values(CLUSTER_SHAPES).find(({ name }) =>
      name === options.shape
    );
    const scenarios = options.scenarios.split(",").map((name) =>
      LOAD_SCENARIOS[name]
    );
    if (shape === undefined || scenarios.includes(undefined)) {
      console.error("unknown scenario or shape");
      process.exit(2);
    }
    const reports: LoadReport[] = [];
    for (const scenario of scenarios as LoadScenario[]) {
      // All policies run with a seed before the next one, so that a change of
      // the machine's load affects them alike.
      for (const seed of String(options.seeds).split(",").map(Number)) {
        for (const placement of options.placements.split(",")) {
          const report = await runWithRetry({
            scenario,
            shape,
            seed,
            placement,
          });
          reports.push(report);
          console.log(formatLoadReport(report));
          if (options.out !== undefined) {
            appendFileSync(options.out, JSON.stringify(report) + "\n");
          }
        }
      }
    }
    console.log(formatLoadSummary(reports));
    process.exit(0);
  })
  .parse(process.argv);

/**
 * Runs a scenario, and repeats it on an error, for example when the cluster
 * didn't start because another process took one of its ports.
 * @throws The error of the last attempt.
 */
async function runWithRetry(options: RunOptions): Promise<LoadReport> {
  for (let attempt = 1;; attempt++) {
    try {
      return await run(options);
    } catch (error) {
      console.error(`run failed: ${(error as Error).message}`);
      if (attempt === MAX_ATTEMPTS) {
        throw error;
      }
    }
  }
}

async function run(options: RunOptions): Promise<LoadReport> {
  const { shape, placement } = options;
  const cluster = new Cluster({
    entryZones: [...shape.entryZones],
    agentZones: [...shape.agentZones],
    services: LOAD_SERVICES.map(({ name }) => name),
    slots: shape.slots,
    speeds: [...shape.speeds],
    processSettings: {
      maxConnections: shape.maxConnections,
      logLevel: "error",
    },
  });
  try {
    await cluster.start();
    await cluster.publish([
      { path: "customers", value: LOAD_CUSTOMERS },
      ...(placement === "default"
        ? []
        : [{ path: "placement", value: placement }]),
    ]);
    // Waits until all processes have applied the change and credits are stable.
    await new Promise((resolve) => setTimeout(resolve, 2_000));
    return await runLoad({
      ...options,
      entryAddresses: cluster.entries.map(({ httpAddress }) => httpAddress),
      agentAddresses: cluster.agents.map(({ httpAddress }) => httpAddress),
      applyEvent: (event) => applyEvent(cluster, event),
      readExecutions: (startedAt) =>
        readTaskExecutions(cluster, { ...options, startedAt }),
    });
  } finally {
    await cluster.stop();
  }
}

async function applyEvent(cluster: Cluster, event: LoadEvent): Promise<void> {
  switch (event.type) {
    case "zone":
      await publishZoneState(cluster.logAddress, event, {
        id: `load-${event.zone}-${event.atMs}`,
      });
      return;
    case "behavior": {
      const upstream = cluster.upstreams[event.worker];
      if (upstream !== undefined) {
        await cluster.setUpstreamBehavior(upstream, { mode: event.mode });
      }
      return;
    }
    case "cancel":
      return;
    default:
      return event satisfies never;
  }
}

/**
 * Reads the task executions of the workers. The end of a task is computed from
 * its run time and the speed of its worker.
 */
async function readTaskExecutions(
  cluster: Cluster,
  options: RunOptions & { startedAt: number },
): Promise<TaskExecution[]> {
  const { shape, startedAt } = options;
  const jobs = new Map<string, PlannedJob>();
  for (const job of createJobs(options)) {
    jobs.set(getKeySuffix(job.key), job);
  }
  const starts = await cluster.getTaskStarts();
  return starts.map(({ key, index, timeMs, upstream }) => {
    const worker = cluster.upstreams.findIndex(({ name }) => name === upstream);
    const runMs = jobs.get(getKeySuffix(key))?.runMs[index] ?? 0;
    const startMs = timeMs - startedAt;
    const endMs = startMs + runMs / (shape.speeds[worker] ?? 1);
    // Removes the customer, with which the processes prefix the client's key.
    return {
      key: key.slice(key.indexOf("/") + 1),
      index,
      worker,
      startMs,
      endMs,
    };
  });
}

/**
 * Gets the part of a key that is the same for all runs of a scenario: the seed
 * and the position.
 */
function getKeySuffix(key: string): string {
  return key.split("-").slice(-2).join("-");
}
