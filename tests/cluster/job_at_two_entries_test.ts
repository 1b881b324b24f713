/**
 * Clients that send a job to a second entry while the first one may still have
 * it, with real processes. The delay before that is the shortest one that the
 * platform's clients use.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { expect } from "chai";
import {
  formatOperatorConfig,
  sendJob,
  type SubmittedJob,
} from "../../platform/stand_in/mod.ts";
import { Relay } from "../../scripts/lib/relay.ts";
import { waitFor } from "../../scripts/lib/wait_for.ts";
import { SoakCluster } from "../../scripts/soak/soak_cluster.ts";
import type { SoakAgent } from "../../scripts/soak/soak_agent.ts";
import type { SoakEntry } from "../../scripts/soak/soak_entry.ts";
import type { SoakProcess } from "../../scripts/soak/soak_process.ts";
import { HttpClient } from "../../src/transport/http/mod.ts";
import { OverlappingRuns } from "../lib/overlapping_runs.ts";

/** Delay before a client sends a job again. */
const RESEND_DELAY_MS = 1_300;

/** Time for which the clients wait for an answer. */
const CLIENT_TIMEOUT_MS = 6_352;

/** Number of jobs of a round, and the time between their submissions. */
const JOBS_PER_ROUND = { count: 6, intervalMs: 80 } as const;

/** Time after a round within which the entries' streams are open again. */
const RECOVERY_MS = 800;

const ROUTE = {
  name: "render",
  host: "render.example",
  pathPrefix: "/render/",
  service: "render",
  priority: 0,
  timeoutMs: 1_500,
  stretch: 1.6,
  latencyTargetMs: 60,
  maxLateness: 4,
  maxAttempts: 3,
};

interface RoundOptions {
  steps?: number;
  runMs?: number;
  /** Disrupts the cluster; starts with the first submissions. */
  disrupt?: () => Promise<void>;
}

describe("a job that is sent to a second entry", () => {
  const folder = mkdtempSync(join(tmpdir(), "cranberrybank-entries-"));
  const runs = new OverlappingRuns();
  const jobs = new Map<string, SubmittedJob>();
  const client = new HttpClient({ maxConnections: 64 });
  const cluster = new SoakCluster({
    ...{ folder, entries: 2, agents: 6, zones: ["a", "b", "c"] },
    ...{ services: ["render"], restartDelayMs: 200 },
    ...{ hasEqualWorkers: true, workerCpuMillis: 32_000 },
    findTask: (task) => {
      const job = jobs.get(task.slice(0, task.indexOf(".")));
      return job && { cpuMillis: job.cpuMillis, runMs: job.expectedMs };
    },
    onEvent: (event) => runs.recordEvent(event),
  });
  /** Address of the relay between the clients and the first entry. */
  let firstAddress = "";
  let firstRelay: Relay;
  /** Whether the logs are kept. */
  let hasFailed = false;

  before(async () => {
    await cluster.start();
    const { key, value } = formatOperatorConfig({
      ...{ version: 1, routes: [ROUTE] },
    });
    cluster.store.publish(key, value);
    await cluster.waitUntilReady();
    firstRelay = new Relay(cluster.entries[0]?.jobAddress ?? "");
    firstAddress = await firstRelay.start();
    // Lets each entry open its streams to all agents.
    await wait(2_500);
  });

  afterEach(function () {
    hasFailed ||= this.currentTest?.state === "failed";
  });

  after(async () => {
    client.close();
    firstRelay.stop();
    await cluster.stop();
    if (!hasFailed) {
      rmSync(folder, { recursive: true, force: true });
    }
  });

  const createJob = (options: RoundOptions): SubmittedJob => {
    const id = (jobs.size + 1).toString(16).padStart(16, "0");
    const { steps = 1, runMs = 1_286 } = options;
    const job = { id, spec: id, tasksPerStep: 4, steps };
    jobs.set(id, { ...job, cpuMillis: 3_100, expectedMs: runMs });
    return jobs.get(id) as SubmittedJob;
  };

  const submit = async (job: SubmittedJob, address: string) => {
    const reply = await sendJob({
      ...{ job, client, address, ...ROUTE },
      ...{ deadlineMs: CLIENT_TIMEOUT_MS, clientTimeoutMs: CLIENT_TIMEOUT_MS },
    });
    return reply.isOk() ? reply.value.status : reply.error.kind;
  };

  /**
   * Submits jobs to the first entry, and again to the second one; checks that
   * no two runs of a task overlap, and that the second submissions succeed.
   */
  async function checkRound(options: RoundOptions = {}): Promise<void> {
    const { disrupt = () => Promise.resolve() } = options;
    const [, { jobAddress: secondAddress }] = cluster.entries as [
      SoakEntry,
      SoakEntry,
    ];
    const firstOverlap = runs.overlaps.length;
    const round = Array.from(
      { length: JOBS_PER_ROUND.count },
      () => createJob(options),
    );
    const answers = Promise.all(round.map(async (job, index) => {
      await wait(index * JOBS_PER_ROUND.intervalMs);
      const first = submit(job, firstAddress);
      await wait(RESEND_DELAY_MS);
      const second = await submit(job, secondAddress);
      await first;
      return second;
    }));
    await disrupt();
    const secondAnswers = await answers;
    await waitFor("the ends of all runs", () => runs.activeCount === 0);
    await wait(RECOVERY_MS);
    expect({ overlaps: runs.overlaps.slice(firstOverlap), secondAnswers })
      .to.deep.equal({ overlaps: [], secondAnswers: round.map(() => 200) });
  }

  async function pause(
    members: readonly { process: SoakProcess }[],
    forMs: number,
  ): Promise<void> {
    members.forEach(({ process }) => process.sendSignal("SIGSTOP"));
    await wait(forMs);
    members.forEach(({ process }) => process.sendSignal("SIGCONT"));
  }

  /** Selects half of the agents, those with work first. */
  function selectAgents(): SoakAgent[] {
    const isIdle = ({ worker }: SoakAgent) =>
      runs.activeWorkerIds.has(worker.workerId) ? 0 : 1;
    return [...cluster.agents].sort((a, b) => isIdle(a) - isIdle(b))
      .slice(0, cluster.agents.length / 2);
  }

  it("runs each task once at a time when nothing is disrupted", () =>
    checkRound());

  for (const pausedMs of [1_000, 1_500, 2_750]) {
    it(`runs each task once at a time when the first entry stands still for ${pausedMs} ms`, () =>
      checkRound({
        disrupt: async () => {
          await wait(500);
          await pause(cluster.entries.slice(0, 1), pausedMs);
        },
      }));
  }

  it("runs each task once at a time when a step ends while the first entry stands still and its connections are reset", () =>
    checkRound({
      ...{ steps: 2, runMs: 600 },
      disrupt: async () => {
        await wait(500);
        const pausing = pause(cluster.entries.slice(0, 1), 1_500);
        await wait(200);
        firstRelay.resetConnections();
        await pausing;
      },
    }));

  for (const pausedMs of [1_500, 2_100]) {
    it(`runs each task once at a time when half of the agents stand still for ${pausedMs} ms`, () =>
      checkRound({
        disrupt: async () => {
          await wait(700);
          await pause(selectAgents(), pausedMs);
        },
      }));
  }

  it("runs each task once at a time when half of the agents are killed", () =>
    checkRound({
      disrupt: async () => {
        await wait(700);
        selectAgents().forEach(({ process }) => process.sendSignal("SIGKILL"));
      },
    }));
});
