import {
  type LocalRun,
  type RunOwner,
  WorkerRunner,
} from "../../src/coordination/batch/agent/mod.ts";
import {
  type AgentStream,
  type BatchAnswer,
  BatchJobRun,
} from "../../src/coordination/batch/entry/mod.ts";
import type { StartRuns } from "../../src/coordination/messages/mod.ts";
import {
  type BatchStep,
  CrashHistory,
  DeclinePolicy,
  type WorkerLoad,
} from "../../src/state/batch/mod.ts";
import { Metrics } from "../../src/state/metrics/mod.ts";
import { createWorkerLoad } from "./create_worker_load.ts";
import { FakeWorker } from "./fake_worker.ts";
import { RecordedLog } from "./recorded_log.ts";
import { waitUntil } from "./wait_until.ts";

const CAPACITY = { cpuMillis: 16_000, memoryMb: 65_536, gpus: 0 };

/** Time from the start of a crashing task to the crash, in milliseconds. */
const CRASH_DELAY_MS = 30;

/** Time in which a crashed worker is away, in milliseconds. */
const RESTART_DELAY_MS = 1_500;

/** Time in which each job must be answered, in milliseconds. */
const JOB_TIMEOUT_MS = 5_000;

interface ClusterAgent {
  readonly id: string;
  readonly worker: FakeWorker;
  readonly runner: WorkerRunner;
}

interface SubmittedJob {
  readonly run: BatchJobRun;
  answer: BatchAnswer | undefined;
}

/**
 * One entry's jobs on agents with in-memory workers, connected by function
 * calls. A worker that starts one of `crashingTasks` crashes, and returns later
 * as a new incarnation.
 */
export class BatchCluster {
  readonly crashingTasks = new Set<string>();
  readonly log = new RecordedLog();
  readonly #crashHistory = new CrashHistory();
  readonly #agents: ClusterAgent[] = [];
  readonly #jobs = new Map<string, SubmittedJob>();
  readonly #timers = new Set<NodeJS.Timeout>();

  constructor({ agents }: { agents: number }) {
    for (let number = 1; number <= agents; number++) {
      const worker = new FakeWorker();
      const id = `agent-${number}`;
      const runner = new WorkerRunner({
        control: worker,
        incarnation: id,
        log: this.log,
        metrics: new Metrics(),
        isInService: () => true,
        onChange: () => {},
        onCrash: (crashId, runs) =>
          this.#crashHistory.record({
            id: crashId,
            agentId: id,
            at: performance.now(),
            runs,
          }),
      });
      this.#agents.push({ id, worker, runner });
    }
  }

  async start(): Promise<void> {
    for (const agent of this.#agents) {
      agent.worker.onStart = (task) => this.#handleStart(agent, task);
      this.#reportWorker(agent);
    }
    await waitUntil(
      () => this.#agents.every(({ runner }) => runner.acceptsWork),
      "all agents accept work",
    );
  }

  stop(): void {
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.#agents.forEach(({ runner }) => runner.stop());
    this.#jobs.forEach(({ run }) => run.cancel());
  }

  /** Counts the starts of a task at all workers. */
  countStarts(task: string): number {
    return this.#agents.flatMap(({ worker }) => worker.starts)
      .filter((start) => start.task === task).length;
  }

  submitJob(id: string, steps: BatchStep[]): SubmittedJob {
    const run = new BatchJobRun({
      job: { id, spec: "x", steps },
      route: {
        name: "r",
        host: "h",
        pathPrefix: "/",
        service: "s",
        priority: 0,
        timeoutMs: JOB_TIMEOUT_MS,
        maxAttempts: 2,
        stretch: 1.6,
        latencyTargetMs: 1_000,
        maxLateness: 4,
      },
      timeLeftMs: JOB_TIMEOUT_MS,
      log: this.log,
      crashHistory: this.#crashHistory,
      getLoads: () => this.#getLoads(),
      getOffers: () => [],
      hasUnknownWorkers: () => false,
      isConfined: () => false,
      declinePolicy: new DeclinePolicy(),
      hasClaim: () => true,
      requestGrants: () => {},
      getAgeMs: () => 0,
      claimFor: () => ({ claimNumber: 0, awaitedHomes: 0 }),
      sendStart: (agentId, message) => this.#startRuns(agentId, message),
      sendStop: (agentId, tasks) =>
        this.#findAgent(agentId)?.runner.stopWhere(
          ({ task }) => tasks.includes(task),
          "ordered",
        ),
      farFactor: 1.5,
    });
    const job: SubmittedJob = { run, answer: undefined };
    this.#jobs.set(id, job);
    void run.answer.then((answer) => job.answer = answer);
    run.start();
    return job;
  }

  #findAgent(id: string): ClusterAgent | undefined {
    return this.#agents.find((agent) => agent.id === id);
  }

  #getLoads(): WorkerLoad[] {
    return this.#agents.filter(({ runner }) => runner.acceptsWork)
      .map(({ id, runner }) => {
        const status = runner.getStatus();
        return createWorkerLoad({
          agentId: id,
          ...status,
          capacity: CAPACITY,
          free: {
            cpuMillis: status.freeCpuMillis,
            memoryMb: status.freeMemoryMb,
            gpus: status.freeGpus,
          },
        });
      });
  }

  #startRuns(
    agentId: string,
    message: Omit<StartRuns, "batch">,
  ): AgentStream {
    const agent = this.#findAgent(agentId);
    const stream = { agentId, address: agentId, number: 1 };
    const owner: RunOwner = {
      name: "entry-1",
      isResponsive: () => true,
      sendCancel: () => {},
      handleEnd: (end) =>
        queueMicrotask(() =>
          this.#jobs.get(message.jobId)?.run.handleEnd(stream, end)
        ),
    };
    const now = performance.now();
    for (const order of message.runs) {
      agent?.runner.add(
        {
          ...order,
          jobId: message.jobId,
          jobArrivedAt: now - message.ageMs,
          route: message.route,
          spec: message.spec,
          owner,
          resources: order,
          priority: message.priority,
          arrivedAt: now,
          deadlineAt: now + message.timeLeftMs,
          latencyTargetAt: now + message.targetLeftMs,
          state: "queued",
          isStopRequested: false,
          minReportFence: 0,
          startedAt: 0,
          stopSentAt: 0,
          missedReports: 0,
        } satisfies LocalRun,
      );
    }
    agent?.runner.processQueue();
    return stream;
  }

  #handleStart(agent: ClusterAgent, task: string): void {
    const { worker } = agent;
    if (this.crashingTasks.has(task)) {
      this.#startTimer(CRASH_DELAY_MS, () => {
        worker.crash();
        this.#startTimer(RESTART_DELAY_MS, () => {
          worker.isDown = false;
          this.#reportWorker(agent);
        });
      });
      return;
    }
    const { bornAtMs } = worker;
    this.#startTimer(CRASH_DELAY_MS * 3, () => {
      if (worker.bornAtMs === bornAtMs) {
        worker.endRun(task, "done");
      }
    });
  }

  #reportWorker({ worker, runner }: ClusterAgent): void {
    runner.handleWorkerReport({
      workerId: worker.workerId,
      bornAtMs: worker.bornAtMs,
      sequence: 1,
      service: "s",
      zone: "a",
      isDraining: false,
      remainingMs: undefined,
      capacity: CAPACITY,
      labels: [],
      rack: "",
    });
  }

  #startTimer(delayMs: number, handle: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      handle();
    }, delayMs);
    this.#timers.add(timer);
  }
}
