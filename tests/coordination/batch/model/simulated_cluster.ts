/**
 * Entries, agents and workers of one model. It carries out the orders of a
 * scenario and records where two runs of a task are executing at once.
 */
import { ok } from "neverthrow";
import { BatchAgent } from "../../../../src/coordination/batch/agent/mod.ts";
import {
  type BatchAnswer,
  BatchEntry,
} from "../../../../src/coordination/batch/entry/mod.ts";
import type { OperatorRecordParser } from "../../../../src/coordination/batch/directory/mod.ts";
import { createBatchStep } from "../../../lib/create_batch_step.ts";
import { createRoute } from "../../../lib/create_route.ts";
import { TestRandom } from "../../../lib/test_random.ts";
import { IgnoredMetrics } from "./ignored_metrics.ts";
import type { ModelOrder } from "./model_order.ts";
import type { ModelScenario } from "./model_scenario.ts";
import { MODEL_SIZE } from "./model_size.ts";
import { SimulatedNetwork } from "./simulated_network.ts";
import { SimulatedProcess } from "./simulated_process.ts";
import { SimulatedStore } from "./simulated_store.ts";
import type { SimulatedTime } from "./simulated_time.ts";
import { SimulatedWorker } from "./simulated_worker.ts";
import { SimulatedWorkerControl } from "./simulated_worker_control.ts";

/** Least time between two submissions of a job, in milliseconds. */
const RESEND_DELAY_MS = 1_300;

/** Time in which a submission is answered, in milliseconds. */
const TIME_LEFT_MS = 15_000;

/** Interval of the workers' reports to their agents, in milliseconds. */
const REPORT_INTERVAL_MS = 500;

/** Cores of a worker and of a task, in thousandths: two tasks fit. */
const CPU_MILLIS = { worker: 4_000, task: 2_000 } as const;

const ROUTE = createRoute({
  ...{ maxAttempts: 20, maxLateness: 40, latencyTargetMs: 10_000 },
});

const parseOperatorRecord: OperatorRecordParser = () => ok({ kind: "other" });

/** One submission of a job to one life of an entry. */
interface Submission {
  readonly job: number;
  readonly entry: SimulatedProcess;
  readonly client: AbortController;
  answer: BatchAnswer | undefined;
}

/** A process slot, with its current life. */
interface ProcessSlot {
  readonly name: string;
  process: SimulatedProcess;
  /** Number of the disruption that is to end, so that later ones replace it. */
  disruption: number;
}

export interface SimulatedClusterOptions {
  scenario: ModelScenario;
  time: SimulatedTime;
  random: TestRandom;
}

export class SimulatedCluster {
  readonly #scenario: ModelScenario;
  readonly #time: SimulatedTime;
  readonly #random: TestRandom;
  readonly #network: SimulatedNetwork;
  readonly #store: SimulatedStore;
  readonly #metrics = new IgnoredMetrics();
  readonly #slots: ProcessSlot[];
  readonly #entries: BatchEntry[] = [];
  readonly #agents: BatchAgent[] = [];
  readonly #workers: SimulatedWorker[];
  /** Calls to carry out late, for each worker. */
  readonly #lateCalls: { count: number; byMs: number }[];
  readonly #submissions: Submission[] = [];
  readonly #nextSubmissionAtMs: number[];
  /** Workers with a run of each task. */
  readonly #workersByTask = new Map<string, string[]>();
  readonly #overlaps: string[] = [];
  readonly #trace: { atMs: number; source: string; text: () => string }[] = [];
  #scheduledSubmissions = 0;
  #storeLosses = 0;

  constructor({ scenario, time, random }: SimulatedClusterOptions) {
    this.#scenario = scenario;
    this.#time = time;
    this.#random = random;
    this.#network = new SimulatedNetwork(time, random);
    this.#store = new SimulatedStore(time);
    this.#nextSubmissionAtMs = scenario.jobs.map(() => 0);
    const { entries, agents } = MODEL_SIZE;
    const names = [
      ...Array.from({ length: entries }, (_, index) => `entry-${index}`),
      ...Array.from({ length: agents }, (_, index) => `agent-${index}`),
    ];
    this.#slots = names.map((name) => ({
      ...{
        name,
        process: new SimulatedProcess(name, time.nowMs),
        disruption: 0,
      },
    }));
    this.#workers = Array.from(
      { length: agents },
      (_, index) => this.#createWorker(index),
    );
    this.#lateCalls = this.#workers.map(() => ({ count: 0, byMs: 0 }));
  }

  /** Gets a description of each overlap of two runs of a task. */
  get overlaps(): readonly string[] {
    return this.#overlaps;
  }

  /** Gets whether a client waits, or will send its job again. */
  get hasWaitingClients(): boolean {
    return this.#scheduledSubmissions > 0 || this.#findWaiting().length > 0;
  }

  /** Gets a description of each submission whose client waits for an answer. */
  get missingAnswers(): readonly string[] {
    return this.#findWaiting().map(({ job, entry }) =>
      `job ${job} at ${entry.name} gets no answer`
    );
  }

  /**
   * Gets a description of each job whose latest submission is not completed. A job
   * may also have failed when workers have crashed.
   */
  get unfinishedJobs(): readonly string[] {
    const canFail = this.#scenario.orders.some(({ order }) =>
      order.kind === "crash_worker"
    );
    return this.#findLastSubmissions()
      .filter(({ answer }) =>
        answer?.kind !== "completed" && !(canFail && answer?.kind === "failed")
      )
      .map(({ job, entry, answer }) =>
        `job ${job} at ${entry.name} is not completed: ${
          JSON.stringify(answer)
        }`
      );
  }

  /** Gets whether a run is executing at a worker. */
  get hasRuns(): boolean {
    return [...this.#workersByTask.values()].some(({ length }) => length > 0);
  }

  start(): void {
    this.#workers.forEach((worker, index) => {
      worker.start();
      const delayMs = this.#random.getInt(0, REPORT_INTERVAL_MS);
      this.#scheduleReport(index, delayMs);
    });
    this.#slots.forEach((_, index) => this.#startProcess(index));
  }

  applyOrder(order: ModelOrder): void {
    this.#record("model", () => JSON.stringify(order));
    switch (order.kind) {
      case "submit":
        this.#scheduleSubmission(order.job, order.entry, order.heldMs);
        return;
      case "disconnect":
        this.#closeConnection(order.job);
        return;
      case "suspend":
        this.#suspend(order.process, order.forMs, order.first);
        return;
      case "restart":
        this.#scheduleRestart(order.process, order.afterMs);
        return;
      case "cut":
        this.#setCut(order);
        return;
      case "cut_agents": {
        const { from, to, forMs } = order;
        const path = this.#network.getPath(`agent-${from}`, getAddress(to));
        path.setCut(true);
        this.#time.schedule(forMs, () => path.setCut(false), {
          getProcess: () => undefined,
        });
        return;
      }
      case "reset":
        this.#network.failStreams(
          `entry-${order.entry}`,
          getAddress(order.agent),
        );
        return;
      case "lose_store":
        this.#setStoreLost(order.forMs);
        return;
      case "fail_runs":
        this.#workers[order.worker]?.failRuns();
        return;
      case "crash_worker":
        this.#endWorkerLife(order.worker, order.forMs);
        return;
      case "delay_calls": {
        const { count, byMs } = order;
        this.#lateCalls[order.worker] = { count, byMs };
        return;
      }
      default:
        order satisfies never;
    }
  }

  /** Ends all disruptions at once. */
  endDisruptions(): void {
    this.#record("model", () => "all disruptions end");
    this.#network.getPaths().forEach((path) => path.setCut(false));
    this.#storeLosses = 0;
    this.#store.setLost(false);
    this.#lateCalls.forEach((late) => late.count = 0);
    for (const [index, worker] of this.#workers.entries()) {
      if (!worker.isUp) {
        worker.start();
        this.#reportWorker(index);
      }
    }
    this.#slots.forEach((slot, index) => {
      slot.disruption++;
      if (slot.process.state === "ended") {
        this.#startProcess(index);
      } else {
        this.#time.resume(slot.process, "timer");
      }
    });
  }

  /** Sends all jobs that were sent again, each to any entry. */
  submitJobsAgain(): void {
    for (const { job } of this.#findLastSubmissions()) {
      const entry = this.#random.getInt(0, MODEL_SIZE.entries - 1);
      this.#scheduleSubmission(job, entry);
    }
  }

  /** Formats the latest events since the first order for people. */
  formatTrace(maxLines: number): string {
    const firstOrder = this.#trace.findIndex(({ source }) =>
      source === "model"
    );
    return this.#trace.slice(firstOrder).slice(-maxLines)
      .map(({ atMs, source, text }) =>
        `${(atMs - this.#time.startMs).toFixed(1)} ${source}: ${text()}`
      )
      .join("\n");
  }

  #findWaiting(): Submission[] {
    return this.#submissions.filter(({ answer, client, entry }) =>
      answer === undefined && !client.signal.aborted && entry.state !== "ended"
    );
  }

  #findLastSubmissions(): Submission[] {
    return [...this.#scenario.jobs.keys()]
      .map((job) => this.#submissions.findLast((sent) => sent.job === job))
      .filter((last) => last !== undefined);
  }

  #createWorker(index: number): SimulatedWorker {
    const name = `worker-${index}`;
    return new SimulatedWorker({
      name,
      time: this.#time,
      random: this.#random,
      getDurationMs: (task) => this.#getDurationMs(task),
      onStart: (task) => {
        this.#record(name, () => `starts ${task}`);
        const others = this.#workersByTask.get(task) ?? [];
        if (others.length > 0) {
          this.#overlaps.push(
            `${name} starts ${task} while it runs on ${others.join(", ")}`,
          );
        }
        this.#workersByTask.set(task, [...others, name]);
      },
      onEnd: (task, outcome) => {
        this.#record(name, () => `ends ${task}: ${outcome}`);
        const others = this.#workersByTask.get(task) ?? [];
        const position = others.indexOf(name);
        this.#workersByTask.set(task, others.toSpliced(position, 1));
      },
    });
  }

  #getDurationMs(task: string): number {
    const [jobId, , step] = task.split(".") as [string, string, string];
    const job = this.#scenario.jobs[parseInt(jobId, 16)];
    return job?.steps[Number(step)]?.durationMs ?? 0;
  }

  #startProcess(index: number): void {
    const slot = this.#slots[index] as ProcessSlot;
    const process = new SimulatedProcess(slot.name, this.#time.nowMs);
    slot.process = process;
    this.#time.schedule(0, () => {
      if (index < MODEL_SIZE.entries) {
        this.#startEntry(index, process);
      } else {
        this.#startAgent(index - MODEL_SIZE.entries, process);
      }
    }, { getProcess: () => process });
  }

  #startEntry(index: number, process: SimulatedProcess): void {
    const entry = new BatchEntry({
      ...this.#createProcessOptions(process),
      peers: this.#network.createConnector(process),
      farFactor: 1.5,
    });
    this.#entries[index] = entry;
    entry.start();
  }

  #startAgent(index: number, process: SimulatedProcess): void {
    const address = getAddress(index);
    const agent = new BatchAgent({
      ...this.#createProcessOptions(process),
      ...{ zone: index % 2 === 0 ? "a" : "b", address, maxLeaseMs: 1_000 },
      peers: this.#network.createConnector(process),
      control: new SimulatedWorkerControl({
        ...{ time: this.#time, random: this.#random, process },
        worker: this.#workers[index] as SimulatedWorker,
        takeLateness: () => this.#takeLateness(index),
      }),
    });
    this.#agents[index] = agent;
    this.#network.setServer(address, {
      process,
      serve: (stream) => void agent.serve(stream),
    });
    agent.start();
  }

  #createProcessOptions(process: SimulatedProcess) {
    return {
      name: process.name,
      incarnation: `${process.name}/${Math.floor(this.#time.nowMs)}`,
      store: this.#store.createClient(process),
      log: {
        record: (event: string, fields: Record<string, unknown> = {}) =>
          this.#record(
            process.name,
            () => `${event} ${JSON.stringify(fields)}`,
          ),
      },
      metrics: this.#metrics,
      parseOperatorRecord,
    };
  }

  #takeLateness(index: number): number | undefined {
    const late = this.#lateCalls[index];
    if (late === undefined || late.count === 0) {
      return undefined;
    }
    late.count--;
    return late.byMs;
  }

  #scheduleReport(index: number, delayMs: number): void {
    this.#time.schedule(delayMs, () => {
      this.#reportWorker(index);
      this.#scheduleReport(index, REPORT_INTERVAL_MS);
    }, { getProcess: () => undefined });
  }

  /** Reports a worker to its agent. */
  #reportWorker(index: number): void {
    const worker = this.#workers[index];
    const slot = this.#slots[MODEL_SIZE.entries + index];
    if (worker?.isUp !== true || slot === undefined) {
      return;
    }
    const report = {
      ...{ workerId: worker.id, bornAtMs: worker.bornAtMs },
      sequence: Math.floor(this.#time.nowMs),
      ...{
        service: ROUTE.service,
        zone: "a",
        isDraining: false,
        labels: [],
        rack: "",
      },
      remainingMs: undefined,
      capacity: { cpuMillis: CPU_MILLIS.worker, memoryMb: 1_000, gpus: 0 },
    };
    const { process } = slot;
    this.#time.schedule(
      1,
      () => this.#agents[index]?.runner.handleWorkerReport(report),
      { getProcess: () => process },
    );
  }

  #scheduleSubmission(job: number, entry: number, heldMs = 0): void {
    const now = this.#time.nowMs;
    const atMs = Math.max(now, this.#nextSubmissionAtMs[job] ?? 0);
    this.#nextSubmissionAtMs[job] = atMs + RESEND_DELAY_MS;
    this.#scheduledSubmissions++;
    this.#time.schedule(atMs - now, () => {
      this.#scheduledSubmissions--;
      this.#submit(job, entry, heldMs);
    }, { getProcess: () => undefined });
  }

  #submit(job: number, entryIndex: number, heldMs: number): void {
    const { process } = this.#slots[entryIndex] as ProcessSlot;
    const client = new AbortController();
    const submission: Submission = {
      ...{ job, entry: process, client, answer: undefined },
    };
    this.#submissions.push(submission);
    this.#record("client", () => `sends job ${job} to ${process.name}`);
    const steps = this.#scenario.jobs[job]?.steps ?? [];
    const run = async () => {
      submission.answer = await this.#entries[entryIndex]?.runJob({
        job: {
          id: job.toString(16).padStart(16, "0"),
          spec: "x",
          steps: steps.map(({ count, durationMs }, index) =>
            createBatchStep({
              ...{ count, expectedMs: durationMs },
              resources: {
                ...{ cpuMillis: CPU_MILLIS.task, memoryMb: 64, gpus: 0 },
              },
              dependsOn: index === 0 ? [] : [index - 1],
            })
          ),
        },
        route: ROUTE,
        timeLeftMs: TIME_LEFT_MS,
        signal: client.signal,
      });
    };
    const delayMs = 1 + heldMs;
    this.#time.schedule(delayMs, () => void run(), {
      getProcess: () => process,
    });
  }

  #closeConnection(job: number): void {
    const last = this.#submissions.findLast((sent) => sent.job === job);
    if (last !== undefined) {
      this.#time.schedule(1, () => last.client.abort(), {
        getProcess: () => last.entry,
      });
    }
  }

  #suspend(index: number, forMs: number, first: "timer" | "input"): void {
    const slot = this.#slots[index] as ProcessSlot;
    const { process } = slot;
    process.suspend();
    this.#scheduleEnd(slot, forMs, () => {
      this.#record("model", () => `${process.name} goes on`);
      this.#time.resume(process, first);
    });
  }

  #scheduleRestart(index: number, afterMs: number): void {
    const slot = this.#slots[index] as ProcessSlot;
    const { process } = slot;
    process.end();
    this.#network.closeStreams(process);
    this.#scheduleEnd(slot, afterMs, () => {
      this.#record("model", () => `${process.name} starts again`);
      this.#startProcess(index);
    });
  }

  /** Schedules the end of a disruption unless another one follows before it. */
  #scheduleEnd(slot: ProcessSlot, delayMs: number, end: () => void): void {
    slot.disruption++;
    const { disruption } = slot;
    this.#time.schedule(delayMs, () => {
      if (slot.disruption === disruption) {
        end();
      }
    }, { getProcess: () => undefined });
  }

  #setCut(order: Extract<ModelOrder, { kind: "cut" }>): void {
    const entry = `entry-${order.entry}`;
    const agent = getAddress(order.agent);
    const paths = [
      ...order.direction === "to_entry" ? [] : [[entry, agent] as const],
      ...order.direction === "to_agent" ? [] : [[agent, entry] as const],
    ].map(([from, to]) => this.#network.getPath(from, to));
    paths.forEach((path) => path.setCut(true));
    this.#time.schedule(
      order.forMs,
      () => paths.forEach((path) => path.setCut(false)),
      { getProcess: () => undefined },
    );
  }

  #setStoreLost(forMs: number): void {
    this.#storeLosses++;
    const losses = this.#storeLosses;
    this.#store.setLost(true);
    this.#time.schedule(forMs, () => {
      if (this.#storeLosses === losses) {
        this.#store.setLost(false);
      }
    }, { getProcess: () => undefined });
  }

  #endWorkerLife(index: number, forMs: number): void {
    const worker = this.#workers[index];
    if (worker?.isUp === true) {
      worker.endLife();
      this.#time.schedule(forMs, () => {
        if (!worker.isUp) {
          worker.start();
          this.#reportWorker(index);
        }
      }, { getProcess: () => undefined });
    }
  }

  #record(source: string, text: () => string): void {
    this.#trace.push({ atMs: this.#time.nowMs, source, text });
  }
}

function getAddress(agentIndex: number): string {
  return `10.0.0.${agentIndex}:1`;
}
