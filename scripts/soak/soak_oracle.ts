import {
  getStepDependencies,
  type SubmittedJob,
  type WorkerEvent,
} from "../../platform/stand_in/mod.ts";
import type { DisturbanceHistory } from "./disturbance_history.ts";
import { SOAK_LIMITS } from "./soak_limits.ts";
import type { SubmissionOutcome } from "./submission_outcome.ts";
import type { WorkerLocation } from "./worker_location.ts";

/**
 * Times from a worker's drain and from the removal of a zone from service after
 * which no run may start there, as the platform states them.
 */
const BOUNDS_MS = { drain: 2_000, zoneOut: 5_000 } as const;

/** The users' limit of starts of a task that crashes its workers. */
const CRASH_LIMIT = { crashes: 3, startsAfter: 2 } as const;

/**
 * Time after a worker's capacity shrank within which a start may still exceed
 * it: the users' bound, and one report.
 */
const CAPACITY_BOUND_MS = 3_500;

/** Time for which entries may take a label for missing, once a worker has it again. */
const LABEL_SETTLING_MS = 3_000;

/** Allowance for events of stand-ins that are delayed on a busy machine. */
const SLACK_MS = 500;

interface JobRecord {
  readonly job: SubmittedJob;
  /** Service whose workers may run the job. */
  readonly service: string;
  readonly outcomes: SubmissionOutcome[];
}

interface TaskRecord {
  /** Worker that runs the task now. */
  workerId: string | undefined;
  starts: number;
  done: number;
  failed: number;
  /** Number of workers that crashed while they ran it. */
  crashed: number;
  startsAfterCrashes: number;
}

/**
 * Checks what clients and workers observe against the guarantees of the system.
 * Of the processes it knows only when they were disturbed.
 */
export class SoakOracle {
  readonly violations: string[] = [];
  readonly #disturbanceHistory: DisturbanceHistory;
  readonly #jobs = new Map<string, JobRecord>();
  readonly #tasks = new Map<string, TaskRecord>();
  readonly #drainedAt = new Map<string, number>();
  readonly #zonesOutAt = new Map<string, number>();
  /** Service and labels of the latest incarnation of each agent's worker. */
  readonly #labels = new Map<
    string,
    { service: string; labels: readonly string[] }
  >();
  /** When each service last had no worker with a label. */
  readonly #labelsMissingAt = new Map<string, number>();

  constructor(disturbanceHistory: DisturbanceHistory) {
    this.#disturbanceHistory = disturbanceHistory;
  }

  get jobCount(): number {
    return this.#jobs.size;
  }

  get startCount(): number {
    return [...this.#tasks.values()].reduce(
      (sum, { starts }) => sum + starts,
      0,
    );
  }

  addJob(job: SubmittedJob, service: string): void {
    this.#jobs.set(job.id, { job, service, outcomes: [] });
  }

  getJob(id: string): SubmittedJob | undefined {
    return this.#jobs.get(id)?.job;
  }

  /** Gets the workers that run tasks of jobs. */
  getActiveWorkerIds(jobIds: readonly string[]): Set<string> {
    return new Set(
      jobIds.flatMap((id) =>
        this.#getTasks((this.#jobs.get(id) as JobRecord).job)
      )
        .flatMap((task) => task?.workerId ?? []),
    );
  }

  /** Records that the operator took a zone out of service, or put it back. */
  recordZoneState(zone: string, state: "in" | "out"): void {
    if (state === "in") {
      this.#zonesOutAt.delete(zone);
    } else {
      this.#zonesOutAt.set(zone, performance.now());
    }
  }

  /** Records the outcome of a submission; checks an answer against the runs. */
  recordOutcome(jobId: string, outcome: SubmissionOutcome): void {
    const record = this.#jobs.get(jobId) as JobRecord;
    record.outcomes.push(outcome);
    if (outcome.kind !== "answer") {
      return;
    }
    const tasks = this.#getTasks(record.job);
    if (
      outcome.state === "completed" &&
      tasks.some((task) => (task?.done ?? 0) === 0)
    ) {
      this.addViolation(
        `${jobId} was answered as completed, but a task has not completed`,
      );
    }
    const canFail = this.#canLackWorkers(record) ||
      record.job.cpuMillis > SOAK_LIMITS.workerCpuMillis ||
      tasks.some((task) =>
        (task?.failed ?? 0) >= SOAK_LIMITS.maxAttempts ||
        (task?.crashed ?? 0) >= SOAK_LIMITS.crashesToGiveUp
      );
    if (outcome.state === "failed" && !canFail) {
      this.addViolation(`${jobId} was answered as failed without a cause`);
    }
  }

  /** Checks an event that a worker has observed. */
  handleEvent(event: WorkerEvent, location: WorkerLocation): void {
    switch (event.kind) {
      case "started":
        this.#handleStart(event, location);
        return;
      case "ended": {
        const task = this.#tasks.get(event.task);
        if (task !== undefined && task.workerId === event.workerId) {
          task.workerId = undefined;
          task.done += event.endReason === "done" ? 1 : 0;
          task.failed += event.endReason === "failed" ? 1 : 0;
          task.crashed += event.endReason === "crashed" ? 1 : 0;
        }
        return;
      }
      case "drain_confirmed":
        if (!this.#drainedAt.has(event.workerId)) {
          this.#drainedAt.set(event.workerId, event.at);
        }
        return;
      case "over_capacity":
        if (event.shrunkForMs > CAPACITY_BOUND_MS + SLACK_MS) {
          this.addViolation(
            `${event.task} starts over the capacity of ${event.workerId}`,
          );
        }
        return;
      case "crash_caused":
        return;
      case "life_started":
        this.#drainedAt.delete(event.workerId);
        this.#recordLabels(location, event.labels);
        return;
      default:
        event satisfies never;
    }
  }

  #recordLabels(
    { agent, service }: WorkerLocation,
    labels: readonly string[],
  ): void {
    const former = this.#labels.get(agent)?.labels ?? [];
    this.#labels.set(agent, { service, labels });
    for (const label of former) {
      if (!this.#hasWorker(service, label)) {
        this.#labelsMissingAt.set(`${service} ${label}`, Infinity);
      }
    }
    for (const label of labels) {
      if (this.#labelsMissingAt.has(`${service} ${label}`)) {
        this.#labelsMissingAt.set(`${service} ${label}`, performance.now());
      }
    }
  }

  #hasWorker(service: string, label: string): boolean {
    return [...this.#labels.values()].some((worker) =>
      worker.service === service && worker.labels.includes(label)
    );
  }

  /** Returns whether an entry may know no worker with the label of a job. */
  #canLackWorkers({ job, service }: JobRecord): boolean {
    const missingAt = this.#labelsMissingAt.get(
      `${service} ${job.requiredLabel}`,
    );
    return missingAt !== undefined &&
      performance.now() - missingAt < LABEL_SETTLING_MS;
  }

  /** Checks what can be decided only after all runs have ended. */
  checkFinalState(): void {
    for (const { job, outcomes } of this.#jobs.values()) {
      const isRefused = outcomes.length > 0 &&
        outcomes.every((outcome) =>
          outcome.kind === "not_connected" ||
          (outcome.kind === "answer" && [429, 503].includes(outcome.status))
        );
      if (isRefused && this.#getTasks(job).some((task) => task !== undefined)) {
        this.addViolation(`${job.id} was refused by each entry, but has run`);
      }
    }
    for (const [name, { workerId }] of this.#tasks) {
      if (workerId !== undefined) {
        this.addViolation(`${name} is still running at ${workerId}`);
      }
    }
  }

  /** Checks that jobs submitted without faults have all completed. */
  checkAllCompleted(jobIds: readonly string[]): void {
    for (const id of jobIds) {
      const outcomes = this.#jobs.get(id)?.outcomes ?? [];
      if (
        !outcomes.some((outcome) =>
          outcome.kind === "answer" && outcome.state === "completed"
        )
      ) {
        this.addViolation(
          `${id} has not completed after the faults: ${
            JSON.stringify(outcomes)
          }`,
        );
      }
    }
  }

  #handleStart(
    event: WorkerEvent & { kind: "started" },
    location: WorkerLocation,
  ): void {
    const { workerId, at } = event;
    const [id, , step] = event.task.split(".") as [string, string, string];
    const record = this.#jobs.get(id);
    if (record === undefined || record.job.spec !== event.spec) {
      this.addViolation(
        `${event.task} was not submitted, or with another spec`,
      );
      return;
    }
    const task = this.#tasks.get(event.task) ??
      {
        ...{ workerId: undefined, starts: 0, done: 0, failed: 0 },
        ...{ crashed: 0, startsAfterCrashes: 0 },
      };
    if (task.workerId !== undefined) {
      this.addViolation(
        `${event.task} runs at ${task.workerId} and at ${workerId}`,
      );
    }
    task.workerId = workerId;
    task.starts++;
    task.startsAfterCrashes += task.crashed >= CRASH_LIMIT.crashes ? 1 : 0;
    if (task.startsAfterCrashes > CRASH_LIMIT.startsAfter) {
      this.addViolation(
        `${event.task} starts again after ${task.crashed} workers crashed under it`,
      );
    }
    this.#tasks.set(event.task, task);
    if (record.service !== location.service) {
      this.addViolation(
        `${event.task} starts at a worker of ${location.service}`,
      );
    }
    const { requiredLabel } = record.job;
    if (requiredLabel !== undefined && !event.labels.includes(requiredLabel)) {
      this.addViolation(
        `${event.task} starts at ${workerId}, which is no worker of kind ${requiredLabel}`,
      );
    }
    const earlierTasks = getStepDependencies(record.job, Number(step))
      .flatMap((number) => this.#getStep(record.job, number));
    if (earlierTasks.some((other) => (other?.done ?? 0) === 0)) {
      this.addViolation(
        `${event.task} starts before the step that it depends on`,
      );
    }
    this.#checkBound(event, this.#drainedAt.get(workerId), {
      agent: location.agent,
      boundMs: BOUNDS_MS.drain,
      description: "a draining worker",
      at,
    });
    this.#checkBound(event, this.#zonesOutAt.get(location.zone), {
      agent: location.agent,
      boundMs: BOUNDS_MS.zoneOut,
      description: "a zone that is out of service",
      at,
    });
  }

  /**
   * Checks that a run doesn't start later than a bound after `since`. The bound
   * holds only while agent and store are undisturbed.
   */
  #checkBound(
    event: WorkerEvent & { kind: "started" },
    since: number | undefined,
    options: {
      agent: string;
      boundMs: number;
      description: string;
      at: number;
    },
  ): void {
    const { agent, boundMs, description, at } = options;
    const undisturbedSince = at - SOAK_LIMITS.undisturbedAfterMs;
    const isUndisturbed =
      this.#disturbanceHistory.isUndisturbedSince(agent, undisturbedSince) &&
      this.#disturbanceHistory.isUndisturbedSince("store", undisturbedSince);
    if (
      since !== undefined && at - since > boundMs + SLACK_MS &&
      !event.isLate && isUndisturbed
    ) {
      this.addViolation(
        `${event.task} starts at ${description} after ${
          Math.round(at - since)
        } ms (${agent})`,
      );
    }
  }

  #getTasks(job: SubmittedJob): (TaskRecord | undefined)[] {
    return Array.from(
      { length: job.steps },
      (_, step) => this.#getStep(job, step),
    ).flat();
  }

  #getStep(job: SubmittedJob, step: number): (TaskRecord | undefined)[] {
    return Array.from(
      { length: job.tasksPerStep },
      (_, index) => this.#tasks.get(`${job.id}.0.${step}.${index}`),
    );
  }

  /** Records a violation of a guarantee. */
  addViolation(violation: string): void {
    this.violations.push(`${Math.round(performance.now())} ms: ${violation}`);
  }
}
