import {
  type BatchJob,
  decideAdmission,
  type PlacedTask,
  placeTasks,
  type Route,
  type WorkerLoad,
} from "../../../state/batch/mod.ts";
import type { ErrorKind } from "../../../state/errors/mod.ts";
import type { EventLog } from "../../ports/mod.ts";
import type { RunEnd, StartRuns } from "../../messages/mod.ts";
import { getRunExpiryMs } from "../get_run_expiry_ms.ts";
import type { BatchAnswer } from "./batch_answer.ts";
import type { BatchTask } from "./batch_task.ts";

/**
 * Delay before a task is placed again, in milliseconds: the worker's new state
 * has then arrived, and so has the end of the client's connection after a pause
 * of this process.
 */
const REPLACE_DELAY_MS = 25;

/** Interval of new tries while no worker takes work, in milliseconds. */
const NO_WORKER_RETRY_MS = 100;

/** Names of tasks hold an occurrence number; jobs that run once have 0. */
const OCCURRENCE = 0;

export interface BatchJobRunOptions {
  job: BatchJob;
  route: Route;
  /** Time in which the job must be answered, in milliseconds. */
  timeLeftMs: number;
  log: EventLog;
  getLoads: (service: string) => WorkerLoad[];
  sendStart: (agentId: string, message: Omit<StartRuns, "batch">) => void;
  sendStop: (agentId: string, tasks: string[]) => void;
  /** Slowdown of tasks away from the rack of their data. */
  farFactor: number;
  getTime?: () => number;
}

/**
 * Runs one job: places its tasks, places those again that ended without a
 * result, and settles the answer. A task is placed again only when its former
 * run has certainly ended.
 */
export class BatchJobRun {
  readonly answer: Promise<BatchAnswer>;
  readonly #options: BatchJobRunOptions;
  readonly #getTime: () => number;
  readonly #tasks: BatchTask[][];
  readonly #byName = new Map<string, BatchTask>();
  readonly #answerBy: number;
  /** When the job misses its latency target, on the monotonic clock. */
  readonly #targetBy: number;
  readonly #timers = new Set<NodeJS.Timeout>();
  #resolve: (answer: BatchAnswer) => void = () => {};
  #isAnswered = false;
  /** May a task of the job have started? */
  #mayHaveRun = false;

  constructor(options: BatchJobRunOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
    this.#answerBy = this.#getTime() + options.timeLeftMs;
    this.#targetBy = this.#getTime() + getTargetMs(options.job, options.route);
    this.answer = new Promise((resolve) => this.#resolve = resolve);
    this.#tasks = createTasks(options.job);
    for (const task of this.#tasks.flat()) {
      this.#byName.set(task.name, task);
    }
  }

  /** Admits the job and sends its first tasks, or refuses it. */
  start(): void {
    const { job, route, log, timeLeftMs, getLoads } = this.#options;
    const loads = getLoads(route.service);
    const ready = this.#tasks.filter((tasks) => this.#isReady(tasks));
    const placements = ready.map((tasks) => this.#place(tasks, loads));
    const decision = decideAdmission({
      taskCount: ready.flat().length,
      placements: placements.flat(),
      hasWorkers: loads.length > 0,
      timeLeftMs,
    });
    log.record("job_admission", {
      job: job.id,
      route: route.name,
      tasks: this.#byName.size,
      timeLeftMs: Math.round(timeLeftMs),
      workers: loads.length,
      priority: route.priority,
      expectedMs: job.steps[0]?.expectedMs,
      ...decision,
      placed: placements.flat().map(({ index, agentId, endMs }) =>
        `${index}@${agentId} ${Math.round(endMs)} ms`
      ),
    });
    switch (decision.kind) {
      case "refused":
        this.#settle(
          decision.error === "unplaceable" ? { kind: "failed" } : {
            kind: "error",
            error: decision.error,
            retryAfterMs: decision.retryAfterMs,
          },
        );
        return;
      case "admitted":
        this.#startTimer(timeLeftMs, () => this.#fail("timeout"));
        ready.forEach((tasks, at) =>
          this.#send(tasks, placements[at] as PlacedTask[])
        );
        return;
      default:
        decision satisfies never;
    }
  }

  /** Handles that the client no longer waits, or has cancelled the job. */
  cancel(): void {
    this.#fail("cancelled");
  }

  /** Handles the end of a run at an agent. */
  handleEnd(agentId: string, end: RunEnd): void {
    const task = this.#byName.get(end.task);
    if (
      this.#isAnswered || task === undefined || task.state !== "sent" ||
      task.agentId !== agentId || end.run < task.run
    ) {
      return;
    }
    task.run = end.run;
    task.state = "waiting";
    if (end.outcome !== "returned" && end.outcome !== "expired") {
      this.#mayHaveRun = true;
    }
    switch (end.outcome) {
      case "done":
        task.state = "done";
        this.#continue();
        return;
      case "failed":
        task.failures++;
        task.avoidedAgents.add(agentId);
        if (task.failures >= this.#options.route.maxAttempts) {
          this.#settle({ kind: "failed" });
          return;
        }
        this.#placeLater(task, 0);
        return;
      case "expired":
        this.#fail("deadline_unreachable");
        return;
      default:
        task.avoidedAgents.add(agentId);
        this.#placeLater(task, REPLACE_DELAY_MS);
    }
  }

  /** Handles that an agent can't be heard any more. */
  handleAgentLost(agentId: string): void {
    const tasks = this.#getSentTo(agentId);
    if (tasks.length === 0) {
      return;
    }
    this.#mayHaveRun = true;
    for (const task of tasks) {
      task.state = "lost";
      task.avoidedAgents.add(agentId);
    }
    const settledMs = getRunExpiryMs();
    const longestMs = Math.max(...tasks.map((task) => task.step.expectedMs));
    const timeLeftMs = this.#answerBy - this.#getTime();
    this.#options.log.record("runs_lost", {
      job: this.#options.job.id,
      agent: agentId,
      tasks: tasks.length,
      timeLeftMs: Math.round(timeLeftMs),
    });
    if (settledMs + longestMs > timeLeftMs) {
      this.#fail("agent_lost");
      return;
    }
    this.#startTimer(settledMs, () => this.handleAgentSettled(agentId));
  }

  /** Handles that no earlier run is at work at an agent. */
  handleAgentSettled(agentId: string): void {
    for (const task of this.#byName.values()) {
      if (task.state === "lost" && task.agentId === agentId) {
        this.#placeLater(task, 0);
      }
    }
  }

  #getSentTo(agentId: string): BatchTask[] {
    return [...this.#byName.values()].filter((task) =>
      task.state === "sent" && task.agentId === agentId
    );
  }

  /** Are the tasks of a step waiting, with all that they depend on done? */
  #isReady(tasks: readonly BatchTask[]): boolean {
    const [first] = tasks;
    return first !== undefined &&
      first.step.dependsOn.every((number) =>
        this.#tasks[number]?.every((task) => task.state === "done") ?? false
      );
  }

  /** Settles the answer when all is done, or sends the next steps. */
  #continue(): void {
    const open = this.#tasks.filter((tasks) =>
      tasks.some((task) => task.state !== "done")
    );
    if (open.length === 0) {
      this.#settle({ kind: "completed" });
      return;
    }
    for (const tasks of open) {
      if (tasks.every((task) => task.run === 0) && this.#isReady(tasks)) {
        this.#placeAgain(tasks);
      }
    }
  }

  #placeLater(task: BatchTask, delayMs: number): void {
    task.state = "waiting";
    this.#startTimer(delayMs, () => {
      if (task.state === "waiting") {
        this.#placeAgain([task]);
      }
    });
  }

  #placeAgain(tasks: readonly BatchTask[]): void {
    const { route, getLoads } = this.#options;
    const loads = getLoads(route.service);
    const placements = this.#place(tasks, loads);
    const timeLeftMs = this.#answerBy - this.#getTime();
    const endMs = Math.max(0, ...placements.map((placed) => placed.endMs));
    if (endMs > timeLeftMs) {
      this.#fail("deadline_unreachable");
      return;
    }
    this.#send(tasks, placements);
    const placed = new Set(placements.map(({ index }) => index));
    for (const task of tasks) {
      if (!placed.has(task.index)) {
        this.#placeLater(task, NO_WORKER_RETRY_MS);
      }
    }
  }

  #place(
    tasks: readonly BatchTask[],
    loads: readonly WorkerLoad[],
  ): PlacedTask[] {
    const [first] = tasks;
    if (first === undefined) {
      return [];
    }
    const placed = new Map<string, number>();
    for (const task of this.#tasks[first.stepNumber] ?? []) {
      if (task.state === "sent" && task.agentId !== undefined) {
        placed.set(task.agentId, (placed.get(task.agentId) ?? 0) + 1);
      }
    }
    return placeTasks({
      step: first.step,
      indexes: tasks.map((task) => task.index),
      priority: this.#options.route.priority,
      loads,
      placedCounts: placed,
      avoidedAgents: new Map(
        tasks.map((task) => [task.index, task.avoidedAgents]),
      ),
      farFactor: this.#options.farFactor,
    });
  }

  #send(tasks: readonly BatchTask[], placements: readonly PlacedTask[]): void {
    const { job, route, sendStart } = this.#options;
    const now = this.#getTime();
    const byAgent = new Map<string, BatchTask[]>();
    for (const { index, agentId } of placements) {
      const task = tasks.find((other) => other.index === index) as BatchTask;
      task.run++;
      task.state = "sent";
      task.agentId = agentId;
      byAgent.set(agentId, [...byAgent.get(agentId) ?? [], task]);
    }
    for (const [agentId, sent] of byAgent) {
      sendStart(agentId, {
        jobId: job.id,
        spec: job.spec,
        priority: route.priority,
        timeLeftMs: Math.max(0, Math.round(this.#answerBy - now)),
        targetLeftMs: Math.round(this.#targetBy - now),
        runs: sent.map((task) => ({
          task: task.name,
          run: task.run,
          ...task.step.resources,
          expectedMs: task.step.expectedMs,
        })),
      });
    }
  }

  /** Answers with an error that is true for what has run. */
  #fail(error: ErrorKind): void {
    const isOpen = [...this.#byName.values()].some((task) =>
      task.state === "sent" || task.state === "lost"
    );
    const canSayNotRun = !this.#mayHaveRun && !isOpen;
    switch (error) {
      case "timeout":
      case "cancelled":
      case "agent_lost":
        this.#settle({ kind: "error", error });
        return;
      default:
        this.#settle({
          kind: "error",
          error: canSayNotRun ? error : "timeout",
        });
    }
  }

  #settle(answer: BatchAnswer): void {
    if (this.#isAnswered) {
      return;
    }
    this.#isAnswered = true;
    this.#timers.forEach((timer) => clearTimeout(timer));
    const byAgent = new Map<string, string[]>();
    for (const task of this.#byName.values()) {
      if (task.state === "sent" && task.agentId !== undefined) {
        const names = byAgent.get(task.agentId) ?? [];
        byAgent.set(task.agentId, [...names, task.name]);
      }
    }
    for (const [agentId, names] of byAgent) {
      this.#options.sendStop(agentId, names);
    }
    this.#resolve(answer);
  }

  #startTimer(delayMs: number, handle: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      if (!this.#isAnswered) {
        handle();
      }
    }, delayMs);
    this.#timers.add(timer);
  }
}

/** Gets the time in which a job meets its latency target, in milliseconds. */
function getTargetMs(job: BatchJob, route: Route): number {
  const chainsMs: number[] = [];
  for (const step of job.steps) {
    const before = step.dependsOn.map((number) => chainsMs[number] ?? 0);
    chainsMs.push(Math.max(0, ...before) + step.expectedMs);
  }
  return route.stretch * Math.max(...chainsMs) + route.latencyTargetMs;
}

function createTasks(job: BatchJob): BatchTask[][] {
  return job.steps.map((step, stepNumber) =>
    Array.from({ length: step.count }, (_, index): BatchTask => ({
      name: `${job.id}.${OCCURRENCE}.${stepNumber}.${index}`,
      step,
      stepNumber,
      index,
      run: 0,
      state: "waiting",
      agentId: undefined,
      failures: 0,
      avoidedAgents: new Set(),
    }))
  );
}
