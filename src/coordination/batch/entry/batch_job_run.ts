import {
  type BatchJob,
  canRunStep,
  type CrashHistory,
  decideAdmission,
  type DeclinePolicy,
  getResponseTimes,
  hasRoom,
  type PlacedTask,
  placeTasks,
  type Route,
  type RunOutcome,
  type WorkerLoad,
  type WorkerOffer,
} from "../../../state/batch/mod.ts";
import type { ErrorKind } from "../../../state/errors/mod.ts";
import type { EventLog } from "../../ports/mod.ts";
import type { RunEnd, StartRuns } from "../../messages/mod.ts";
import { getRunExpiryMs } from "../get_run_expiry_ms.ts";
import type { AgentStream } from "./agent_stream.ts";
import type { BatchAnswer } from "./batch_answer.ts";
import type { BatchTask } from "./batch_task.ts";
import type { ClaimNeed } from "./claim_need.ts";
import { formatPlacedTask } from "./format_placed_task.ts";
import type { PlaceRecord } from "./place_record.ts";

/**
 * Delay before a task whose run was returned, stopped or lost is placed again,
 * in milliseconds. By then the worker's new status has arrived and, after a
 * pause of this process, so has the closing of the client's connection.
 */
const PLACE_AGAIN_DELAY_MS = 25;

/**
 * Interval of the checks whether tasks may be placed after this entry was paused
 * or has lost the homes of the job, in milliseconds.
 */
const CLAIM_CHECK_INTERVAL_MS = 10;

/** Interval of the retries while no worker accepts work, in milliseconds. */
const NO_WORKER_RETRY_MS = 100;

/**
 * Longest delay of a timer of Node.js, in milliseconds; a longer one would fire
 * at once.
 */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** The homes have granted the job. */
const NO_NEED: ClaimNeed = { claimNumber: 0, awaitedHomes: 0 };

/** Ends of runs that have certainly not been started. */
const NOT_STARTED_OUTCOMES: ReadonlySet<string> = new Set<RunOutcome>([
  "declined",
  "expired",
  "returned",
]);

/** Occurrence number in the names of tasks; 0 for jobs that run once. */
const OCCURRENCE = 0;

export interface BatchJobRunOptions {
  job: BatchJob;
  route: Route;
  /** Time in which the job must be answered, in milliseconds. */
  timeLeftMs: number;
  log: EventLog;
  /** Crashes of workers that the agents have reported. */
  crashHistory: CrashHistory;
  /** Gets the workers that the job may use now. */
  getLoads: () => readonly WorkerLoad[];
  /** Gets what the known workers offer, those that are away included. */
  getOffers: () => WorkerOffer[];
  /**
   * Returns whether the job may use only some of the workers, since tasks of its
   * route crash them.
   */
  isConfined: () => boolean;
  /** Decides which orders agents may decline. */
  declinePolicy: DeclinePolicy;
  /** Returns whether this entry may start runs of the job now. */
  hasClaim: () => boolean;
  /** Asks for the grants of the job that have not arrived yet. */
  requestGrants: () => void;
  /**
   * Claims the job for orders that are about to be sent to agents. Returns what these
   * agents must wait for before they start runs.
   */
  claimFor: (agentIds: readonly string[]) => ClaimNeed;
  /** Gets the time since the job may have arrived, in milliseconds. */
  getAgeMs: () => number;
  /**
   * Orders an agent to start tasks. Returns the stream of the order; undefined
   * if there is none.
   */
  sendStart: (
    agentId: string,
    message: Omit<StartRuns, "batch">,
  ) => AgentStream | undefined;
  sendStop: (agentId: string, tasks: string[]) => void;
  /** Factor by which tasks run longer away from the rack of their data. */
  farFactor: number;
  /**
   * Follows the runs of tasks that name the rack of their data, by which it is decided
   * how long others wait for a place there; without it, a wait has a fixed cost.
   */
  placeRecord?: PlaceRecord | undefined;
  getTime?: () => number;
}

/**
 * Runs one job: places its tasks, repeats those that ended without a result,
 * and settles the answer. A task is placed again only when its former run has
 * certainly ended.
 */
export class BatchJobRun {
  readonly answer: Promise<BatchAnswer>;
  /**
   * Resolves when the job is answered and none of its runs can be executing any
   * more. An answer doesn't wait for the runs that it makes superfluous.
   */
  readonly runsEnded: Promise<void>;
  readonly #options: BatchJobRunOptions;
  readonly #getTime: () => number;
  readonly #tasks: BatchTask[][];
  readonly #tasksByName = new Map<string, BatchTask>();
  readonly #createdAt: number;
  readonly #deadlineAt: number;
  /**
   * Time until which an answer is of use to the caller, on the monotonic clock.
   * Tasks that end later are not started; an answer that is complete later is
   * still delivered until the deadline.
   */
  #usefulUntil = 0;
  /** Time at which the latency target is missed, on the monotonic clock. */
  #latencyTargetAt = 0;
  readonly #timers = new Set<NodeJS.Timeout>();
  /** Tasks that agents have declined in this turn of the event loop. */
  #declinedTasks: BatchTask[] = [];
  #resolve: (answer: BatchAnswer) => void = () => {};
  #resolveRunsEnded: () => void = () => {};
  #isAnswered = false;
  #isStarted = false;
  /** Number of callers that wait for the answer. */
  #callerCount = 0;
  /** Whether a task of the job may have started. */
  #canHaveStarted = false;

  constructor(options: BatchJobRunOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
    this.#createdAt = this.#getTime();
    this.#deadlineAt = this.#createdAt + options.timeLeftMs;
    this.answer = new Promise((resolve) => this.#resolve = resolve);
    this.runsEnded = new Promise((resolve) => this.#resolveRunsEnded = resolve);
    this.#tasks = createTasks(options.job);
    for (const task of this.#tasks.flat()) {
      this.#tasksByName.set(task.name, task);
    }
  }

  /** Gets whether a run of the job may be executing. */
  get hasActiveRuns(): boolean {
    return [...this.#tasksByName.values()].some(isActive);
  }

  /**
   * Adds a caller that waits for the answer. The job is cancelled when `signal`
   * has been aborted for each of its callers.
   */
  addCaller(signal: AbortSignal): void {
    this.#callerCount++;
    const handleAbort = () => {
      this.#callerCount--;
      if (this.#callerCount === 0) {
        this.cancel();
      }
    };
    // A signal that is aborted already emits no event any more.
    if (signal.aborted) {
      handleAbort();
    } else {
      signal.addEventListener("abort", handleAbort, { once: true });
    }
  }

  /**
   * Refuses the job once it can't end before its deadline any more, unless it
   * has been started by then. For a job that is held back.
   */
  startHoldTimer(): void {
    const { job, route } = this.#options;
    const { criticalPathMs } = getResponseTimes(job, route);
    const latestStartAt = this.#deadlineAt - criticalPathMs;
    this.#startTimer(Math.max(0, latestStartAt - this.#getTime()), () => {
      if (!this.#isStarted) {
        this.#settleWithError("deadline_unreachable");
      }
    });
  }

  /**
   * Admits the job and sends its first tasks, or refuses it. Does nothing if it
   * has been answered while it was held back.
   */
  start(): void {
    if (this.#isAnswered) {
      return;
    }
    this.#isStarted = true;
    const { job, route, log, getLoads, isConfined } = this.#options;
    const now = this.#getTime();
    const timeLeftMs = this.#deadlineAt - now;
    const { targetMs, maxUsefulMs } = getResponseTimes(job, route);
    this.#usefulUntil = now + Math.min(timeLeftMs, maxUsefulMs);
    this.#latencyTargetAt = now + targetMs;
    for (const task of this.#tasksByName.values()) {
      if (this.#giveUpCrashing(task)) {
        return;
      }
    }
    const loads = getLoads();
    const ready = this.#tasks.filter((tasks) =>
      this.#hasDependenciesDone(tasks)
    );
    const placements = ready.map((tasks) => this.#place(tasks, loads));
    const decision = decideAdmission({
      taskCount: ready.flat().length,
      placements: placements.flat(),
      hasWorkers: loads.length > 0,
      timeLeftMs: this.#usefulUntil - this.#getTime(),
    });
    log.record("job_admission", {
      job: job.id,
      route: route.name,
      tasks: this.#tasksByName.size,
      timeLeftMs: Math.round(timeLeftMs),
      usefulMs: Math.round(this.#usefulUntil - this.#getTime()),
      workers: loads.length,
      freeWorkers: countWorkersWithRoom(loads, job),
      reportAgeMs: getOldestReportAgeMs(loads, placements.flat(), now),
      isConfined: isConfined() || undefined,
      priority: route.priority,
      expectedMs: job.steps[0]?.expectedMs,
      ...decision,
      placed: placements.flat().map(formatPlacedTask),
    });
    switch (decision.kind) {
      case "refused":
        this.#settle(
          decision.error === "unplaceable" && !this.#canRunLater()
            ? { kind: "failed" }
            : {
              kind: "error",
              error: decision.error === "unplaceable"
                ? "no_capacity"
                : decision.error,
              retryAfterMs: decision.retryAfterMs,
            },
        );
        return;
      case "admitted":
        this.#startTimer(timeLeftMs, () => this.#settleWithError("timeout"));
        this.#sendFirst(ready, placements);
        return;
      default:
        decision satisfies never;
    }
  }

  /**
   * Returns whether the job would fit on the known workers if all of them were
   * there with their full capacity.
   */
  #canRunLater(): boolean {
    const offers = this.#options.getOffers();
    return this.#options.job.steps.every((step) => canRunStep(step, offers));
  }

  /** Cancels the job, because its callers have gone or asked for it. */
  cancel(): void {
    this.#settleWithError("cancelled");
  }

  /**
   * Gives the job up, because another entry has got a later submission of it. The
   * caller is not told that the job was not run, since the other entry may run it.
   */
  giveUp(): void {
    this.#settle({ kind: "error", error: "cancelled_running" });
  }

  /** Handles the end of a run that was ordered on a stream. */
  handleEnd(stream: AgentStream, end: RunEnd): void {
    const { agentId } = stream;
    const task = this.#tasksByName.get(end.task);
    if (
      task === undefined || task.state !== "sent" ||
      task.stream?.number !== stream.number || end.run < task.run
    ) {
      return;
    }
    task.run = end.run;
    task.state = "waiting";
    task.lastEnd = end.outcome;
    const now = this.#getTime();
    this.#options.placeRecord?.recordEnd(task, end, {
      now,
      isInTime: now <= this.#latencyTargetAt,
    });
    if (!NOT_STARTED_OUTCOMES.has(end.outcome)) {
      this.#canHaveStarted = true;
    }
    if (task.canBeDeclined) {
      this.#options.declinePolicy.record(end.outcome === "declined");
    }
    if (this.#isAnswered) {
      this.#checkRunsEnded();
      return;
    }
    switch (end.outcome) {
      case "done":
        task.state = "done";
        this.#options.declinePolicy.detours.record(
          this.#options.route.priority,
          now - task.sentAt,
          end.runMs,
        );
        this.#completeOrSendNext();
        return;
      case "failed":
        task.failures++;
        task.avoidedAgents.add(agentId);
        if (task.failures >= this.#options.route.maxAttempts) {
          this.#settle({ kind: "failed" });
          return;
        }
        this.#schedulePlacement(task, 0);
        return;
      case "expired":
        this.#settleWithError("deadline_unreachable");
        return;
      case "declined":
        task.declines++;
        task.avoidedAgents.add(agentId);
        this.#placeDeclined(task);
        return;
      case "lost":
      case "crashed":
        this.#options.log.record("run_lost", {
          job: this.#options.job.id,
          task: task.name,
          run: task.run,
          agent: agentId,
          outcome: end.outcome,
          crashes: this.#options.crashHistory.getCount(task.name),
          reason: end.detail,
        });
        if (!this.#giveUpCrashing(task)) {
          task.avoidedAgents.add(agentId);
          this.#schedulePlacement(task, PLACE_AGAIN_DELAY_MS);
        }
        return;
      default:
        task.avoidedAgents.add(agentId);
        this.#schedulePlacement(task, PLACE_AGAIN_DELAY_MS);
    }
  }

  /** Handles the loss of a stream; its runs may still be executing. */
  handleStreamLost(stream: AgentStream): void {
    const { agentId } = stream;
    const tasks = this.#findTasks(
      "sent",
      ({ number }) => number === stream.number,
    );
    if (tasks.length === 0) {
      return;
    }
    this.#canHaveStarted = true;
    for (const task of tasks) {
      task.state = "lost";
      task.avoidedAgents.add(agentId);
    }
    const expiryMs = getRunExpiryMs();
    const longestMs = Math.max(...tasks.map((task) => task.step.expectedMs));
    const timeLeftMs = this.#deadlineAt - this.#getTime();
    this.#options.log.record("runs_lost", {
      job: this.#options.job.id,
      agent: agentId,
      stream: stream.number,
      tasks: tasks.length,
      timeLeftMs: Math.round(timeLeftMs),
      isAnswered: this.#isAnswered || undefined,
    });
    // Runs after the answer, too: it ends the wait for the job's former runs.
    setTimeout(() => {
      const expired = this.#findTasks(
        "lost",
        ({ number }) => number === stream.number,
      );
      this.#endLostRuns(expired, "expiry");
    }, expiryMs);
    if (expiryMs + longestMs > timeLeftMs) {
      this.#settleWithError("agent_lost");
    }
  }

  /**
   * Handles the report of an agent that no run can be executing that was ordered
   * before the given stream. It says nothing of runs at another address, where
   * the agent had another worker.
   */
  handleEarlierRunsEnded(stream: AgentStream): void {
    const ended = this.#findTasks(
      "lost",
      ({ agentId, address, number }) =>
        agentId === stream.agentId && address === stream.address &&
        number < stream.number,
    );
    this.#endLostRuns(ended, "report");
  }

  /** Ends lost runs, and places their tasks again unless the job is answered. */
  #endLostRuns(
    tasks: readonly BatchTask[],
    cause: "report" | "expiry",
  ): void {
    if (tasks.length === 0) {
      return;
    }
    this.#options.log.record("lost_runs_ended", {
      job: this.#options.job.id,
      agent: tasks[0]?.stream?.agentId,
      tasks: tasks.length,
      cause,
      isAnswered: this.#isAnswered || undefined,
    });
    for (const task of tasks) {
      task.lastEnd = cause;
      this.#schedulePlacement(task, 0);
    }
    this.#checkRunsEnded();
  }

  /** Ends the wait for the runs of an answered job once all of them have ended. */
  #checkRunsEnded(): void {
    if (this.#isAnswered && !this.hasActiveRuns) {
      this.#resolveRunsEnded();
    }
  }

  /**
   * Settles the job if workers have crashed under the task and it must not be
   * started again.
   * @returns Whether the job is settled.
   */
  #giveUpCrashing(task: BatchTask): boolean {
    const { crashHistory, log, job, route } = this.#options;
    const verdict = crashHistory.getVerdict(task.name);
    if (verdict === "may_start") {
      return false;
    }
    log.record("task_given_up", {
      job: job.id,
      route: route.name,
      task: task.name,
      verdict,
      crashes: crashHistory.getCount(task.name),
      agents: crashHistory.getCrashes(task.name).map(({ agentId }) => agentId),
    });
    switch (verdict) {
      case "crashes_workers":
        this.#settle({ kind: "failed" });
        return true;
      case "unclear":
        this.#settle({ kind: "error", error: "agent_lost" });
        return true;
      default:
        return verdict satisfies never;
    }
  }

  #findTasks(
    state: BatchTask["state"],
    matches: (stream: AgentStream) => boolean,
  ): BatchTask[] {
    return [...this.#tasksByName.values()].filter((task) =>
      task.state === state && task.stream !== undefined && matches(task.stream)
    );
  }

  /** Returns whether all steps that the tasks' step depends on are done. */
  #hasDependenciesDone(tasks: readonly BatchTask[]): boolean {
    const [first] = tasks;
    return first !== undefined &&
      first.step.dependsOn.every((number) =>
        this.#tasks[number]?.every((task) => task.state === "done") ?? false
      );
  }

  /** Completes the job when all tasks are done, or sends the next steps. */
  #completeOrSendNext(): void {
    const unfinished = this.#tasks.filter((tasks) =>
      tasks.some((task) => task.state !== "done")
    );
    if (unfinished.length === 0) {
      this.#settle({ kind: "completed" });
      return;
    }
    for (const tasks of unfinished) {
      if (
        tasks.every((task) => task.run === 0) &&
        this.#hasDependenciesDone(tasks)
      ) {
        this.#placeAndSend(tasks);
      }
    }
  }

  #schedulePlacement(task: BatchTask, delayMs: number): void {
    task.state = "waiting";
    this.#startTimer(delayMs, () => {
      if (task.state === "waiting") {
        this.#placeAndSend([task]);
      }
    });
  }

  /**
   * Places a declined task again, together with others whose ends are in the same
   * frame, and after the status that follows it.
   */
  #placeDeclined(task: BatchTask): void {
    if (this.#declinedTasks.push(task) > 1) {
      return;
    }
    this.#options.requestGrants();
    this.#startTimer(0, () => {
      const declined = this.#declinedTasks;
      this.#declinedTasks = [];
      for (const tasks of this.#tasks) {
        const ofStep = declined.filter((other) => tasks.includes(other));
        if (ofStep.length > 0) {
          this.#placeAndSend(ofStep);
        }
      }
    });
  }

  #placeAndSend(tasks: readonly BatchTask[]): void {
    const { getLoads, isConfined, hasClaim } = this.#options;
    if (!hasClaim()) {
      tasks.forEach((task) =>
        this.#schedulePlacement(task, CLAIM_CHECK_INTERVAL_MS)
      );
      return;
    }
    const loads = getLoads();
    if (loads.length === 0 && isConfined()) {
      // The workers that the job may use have crashed, and take seconds to return.
      this.#settleWithError("no_capacity");
      return;
    }
    const placements = this.#place(tasks, loads);
    const timeLeftMs = this.#usefulUntil - this.#getTime();
    const endMs = Math.max(0, ...placements.map((placed) => placed.endMs));
    if (endMs > timeLeftMs) {
      this.#settleWithError("deadline_unreachable");
      return;
    }
    this.#send(tasks, placements, NO_NEED);
    const placedIndexes = new Set(placements.map(({ index }) => index));
    for (const task of tasks) {
      if (!placedIndexes.has(task.index)) {
        this.#schedulePlacement(task, NO_WORKER_RETRY_MS);
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
    const placedCounts = new Map<string, number>();
    for (const task of this.#tasks[first.stepNumber] ?? []) {
      if (task.state === "sent" && task.stream !== undefined) {
        const { agentId } = task.stream;
        placedCounts.set(agentId, (placedCounts.get(agentId) ?? 0) + 1);
      }
    }
    return placeTasks({
      step: first.step,
      indexes: tasks.map((task) => task.index),
      priority: this.#options.route.priority,
      loads,
      placedCounts,
      avoidedAgents: new Map(
        tasks.map((task) => [task.index, this.#getAvoidedAgents(task, loads)]),
      ),
      farFactor: this.#options.farFactor,
      waitForecast: this.#options.placeRecord?.waitForecast,
      targetLeftMs: this.#latencyTargetAt - this.#getTime(),
    });
  }

  /**
   * Gets the agents that a task is better not placed on. Tasks under which a
   * worker has crashed are kept apart from each other.
   */
  #getAvoidedAgents(
    task: BatchTask,
    loads: readonly WorkerLoad[],
  ): ReadonlySet<string> {
    if (this.#options.crashHistory.getCount(task.name) === 0) {
      return task.avoidedAgents;
    }
    const suspectAgents = loads.filter(({ suspectRuns }) => suspectRuns > 0)
      .map(({ agentId }) => agentId);
    return new Set([...task.avoidedAgents, ...suspectAgents]);
  }

  /** Claims the job, and sends the tasks of all steps that are ready. */
  #sendFirst(
    ready: readonly BatchTask[][],
    placements: readonly PlacedTask[][],
  ): void {
    const agentIds = placements.flat().map(({ agentId }) => agentId);
    const need = this.#options.claimFor([...new Set(agentIds)]);
    ready.forEach((tasks, index) =>
      this.#send(tasks, placements[index] as PlacedTask[], need)
    );
  }

  /** Orders agents to start tasks, after what they must wait for. */
  #send(
    tasks: readonly BatchTask[],
    placements: readonly PlacedTask[],
    need: ClaimNeed,
  ): void {
    const { job, route, sendStart, crashHistory, declinePolicy, placeRecord } =
      this.#options;
    const now = this.#getTime();
    const byAgent = new Map<string, BatchTask[]>();
    for (const placed of placements) {
      const { index, agentId } = placed;
      const task = tasks.find((other) => other.index === index) as BatchTask;
      this.#recordRepeatedPlacement(task, agentId);
      task.run++;
      task.state = "sent";
      task.placed = placed;
      task.sentAt = now;
      task.canBeDeclined = this.#latencyTargetAt - now > task.step.expectedMs &&
        declinePolicy.canBeDeclined(task.declines);
      placeRecord?.recordOrder(task);
      byAgent.set(agentId, [...byAgent.get(agentId) ?? [], task]);
    }
    const spec = need.awaitedHomes > 0 ? "" : job.spec;
    for (const [agentId, sent] of byAgent) {
      const stream = sendStart(agentId, {
        ...need,
        jobId: job.id,
        ageMs: Math.round(this.#options.getAgeMs()),
        route: route.name,
        spec,
        priority: route.priority,
        timeLeftMs: Math.max(0, Math.round(this.#usefulUntil - now)),
        targetLeftMs: Math.round(this.#latencyTargetAt - now),
        detourMs: Math.round(declinePolicy.detours.estimateMs(route.priority)),
        runs: sent.map((task) => ({
          task: task.name,
          run: task.run,
          ...task.step.resources,
          expectedMs: this.#getExpectedMs(task),
          crashes: crashHistory.getCount(task.name),
          crashedAfterMs: crashHistory.getLatestRunTimeMs(task.name),
          canBeDeclined: task.canBeDeclined,
          recheckAfterMs: getRecheckAfterMs(task),
        })),
      });
      for (const task of sent) {
        task.stream = stream;
        if (stream === undefined) {
          this.#schedulePlacement(task, PLACE_AGAIN_DELAY_MS);
        }
      }
    }
  }

  /**
   * Gets the expected run time of a task that has been placed, on a worker of average
   * speed. An agent learns the speed of its worker by it, so it includes the way to
   * the data.
   */
  #getExpectedMs({ step, placed }: BatchTask): number {
    return placed?.isFar === true
      ? Math.round(step.expectedMs * this.#options.farFactor)
      : step.expectedMs;
  }

  /** Logs why a task is placed that has been placed before. */
  #recordRepeatedPlacement(task: BatchTask, agentId: string): void {
    if (task.run > 0) {
      this.#options.log.record("task_placed_again", {
        job: this.#options.job.id,
        task: task.name,
        formerRun: task.run,
        formerAgent: task.stream?.agentId,
        formerEnd: task.lastEnd,
        agent: agentId,
        jobAgeMs: Math.round(this.#getTime() - this.#createdAt),
      });
    }
  }

  /**
   * Answers with an error. An error that says that the job was not run is
   * replaced by `timeout` when a task may have started.
   */
  #settleWithError(error: ErrorKind): void {
    const isNotRun = !this.#canHaveStarted && !this.hasActiveRuns;
    switch (error) {
      case "timeout":
      case "cancelled":
      case "agent_lost":
        this.#settle({ kind: "error", error });
        return;
      default:
        this.#settle({
          kind: "error",
          error: isNotRun ? error : "timeout",
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
    for (const task of this.#tasksByName.values()) {
      if (task.state === "sent" && task.stream !== undefined) {
        const { agentId } = task.stream;
        byAgent.set(agentId, [...byAgent.get(agentId) ?? [], task.name]);
      }
    }
    for (const [agentId, names] of byAgent) {
      this.#options.sendStop(agentId, names);
    }
    this.#resolve(answer);
    this.#checkRunsEnded();
  }

  #startTimer(delayMs: number, handle: () => void): void {
    if (this.#isAnswered) {
      return;
    }
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      if (!this.#isAnswered) {
        handle();
      }
    }, Math.min(delayMs, MAX_TIMER_MS));
    this.#timers.add(timer);
  }
}

/** Gets when the agent checks a run that waits for a place near its data. */
function getRecheckAfterMs(
  { placed, canBeDeclined }: BatchTask,
): number | undefined {
  const recheckAfterMs = placed?.place?.kind === "wait"
    ? placed.place.recheckAfterMs
    : Infinity;
  return canBeDeclined && Number.isFinite(recheckAfterMs)
    ? Math.round(recheckAfterMs)
    : undefined;
}

/** Returns whether a run of the task may be executing. */
function isActive({ state }: BatchTask): boolean {
  return state === "sent" || state === "lost";
}

/** Counts the workers with room for a task of each of the job's steps. */
function countWorkersWithRoom(
  loads: readonly WorkerLoad[],
  { steps }: BatchJob,
): number {
  return loads.filter(({ free }) =>
    steps.every(({ resources }) => hasRoom(free, resources))
  ).length;
}

/**
 * Gets the age of the oldest report of the workers on which tasks are placed, in
 * milliseconds; undefined without such a worker.
 */
function getOldestReportAgeMs(
  loads: readonly WorkerLoad[],
  placements: readonly PlacedTask[],
  now: number,
): number | undefined {
  const agentIds = new Set(placements.map(({ agentId }) => agentId));
  const agesMs = loads.filter(({ agentId }) => agentIds.has(agentId))
    .map(({ reportedAt }) => now - reportedAt);
  return agesMs.length === 0 ? undefined : Math.round(Math.max(...agesMs));
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
      stream: undefined,
      placed: undefined,
      sentAt: 0,
      lastEnd: undefined,
      failures: 0,
      declines: 0,
      canBeDeclined: false,
      avoidedAgents: new Set(),
    }))
  );
}
