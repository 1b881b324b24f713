import {
  type BatchJob,
  canRunStep,
  type CrashHistory,
  decideAdmission,
  type DeclinePolicy,
  getResponseTimes,
  type PlacedTask,
  placeGroup,
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
import { addToGroup } from "./add_to_group.ts";
import type { AgentStream } from "./agent_stream.ts";
import type { BatchAnswer } from "./batch_answer.ts";
import type { BatchTask } from "./batch_task.ts";
import type { CallerSignal } from "./caller_signal.ts";
import type { ClaimNeed } from "./claim_need.ts";
import { createRunOrder } from "./create_run_order.ts";
import { getPlacedGroup } from "./get_placed_group.ts";
import { JobTasks } from "./job_tasks.ts";
import { JobTimers } from "./job_timers.ts";
import type { PlaceRecord } from "./place_record.ts";
import { PlacementSchedule } from "./placement_schedule.ts";
import { recordAdmission } from "./record_admission.ts";

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

/** The homes have granted the job. */
const NO_NEED: ClaimNeed = { claimNumber: 0, awaitedHomes: 0 };

/** Ends of runs that have certainly not been started. */
const NOT_STARTED_OUTCOMES: ReadonlySet<string> = new Set<RunOutcome>([
  "declined",
  "expired",
  "returned",
]);

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
  /** Returns whether there may be workers whose offers aren't known yet. */
  hasUnknownWorkers: () => boolean;
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
   * Follows the runs of tasks that name the rack of their data or share one, by which
   * it is decided how long others wait for a place there; without it, a wait has a
   * fixed cost, and tasks that share a rack are placed like others.
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
  readonly #tasks: JobTasks;
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
  readonly #timers = new JobTimers();
  /** Undefined before a task is put off: most jobs are placed once. */
  #usedSchedule: PlacementSchedule | undefined;
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
    this.#tasks = new JobTasks(options.job);
  }

  get #schedule(): PlacementSchedule {
    this.#usedSchedule ??= new PlacementSchedule({
      timers: this.#timers,
      place: (tasks) => this.#placeAndSend(tasks),
      onDue: () => this.#options.requestGrants(),
    });
    return this.#usedSchedule;
  }

  /** Gets whether a run of the job may be executing. */
  get hasActiveRuns(): boolean {
    return this.#tasks.hasActiveRuns;
  }

  /**
   * Adds a caller that waits for the answer. The job is cancelled when `signal`
   * has been aborted for each of its callers.
   */
  addCaller(signal: CallerSignal): void {
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
    this.#timers.start(Math.max(0, latestStartAt - this.#getTime()), () => {
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
    for (const task of this.#tasks.getAll()) {
      if (this.#giveUpCrashing(task)) {
        return;
      }
    }
    const loads = getLoads();
    const ready = this.#tasks.steps.filter((tasks) =>
      this.#tasks.hasDependenciesDone(tasks)
    );
    const placements = ready.map((tasks) => this.#place(tasks, loads));
    const placed = placements.flat();
    const decision = decideAdmission({
      taskCount: ready.flat().length,
      placements: placed,
      hasWorkers: loads.length > 0,
      timeLeftMs: this.#usefulUntil - this.#getTime(),
    });
    recordAdmission(log, {
      ...{ job, route, decision, loads, timeLeftMs, now },
      placements: placed,
      taskCount: this.#tasks.size,
      usefulMs: this.#usefulUntil - this.#getTime(),
      isConfined: isConfined(),
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
        this.#timers.start(timeLeftMs, () => this.#settleWithError("timeout"));
        this.#sendFirst(ready, placements);
        return;
      default:
        decision satisfies never;
    }
  }

  /**
   * Returns whether the job would fit on the workers if all of them were there with
   * their full capacity, as far as they are known.
   */
  #canRunLater(): boolean {
    const { getOffers, hasUnknownWorkers } = this.#options;
    if (hasUnknownWorkers()) {
      return true;
    }
    const offers = getOffers();
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
    const task = this.#tasks.get(end.task);
    if (
      task === undefined || task.state !== "sent" ||
      task.stream?.number !== stream.number || end.run < task.run
    ) {
      return;
    }
    task.run = end.run;
    task.state = "idle";
    task.lastEnd = end.outcome;
    task.declinedAgents.delete(agentId);
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
        this.#schedule.addDelayed(task, 0);
        return;
      case "expired":
        this.#settleWithError("deadline_unreachable");
        return;
      case "declined":
        task.declines++;
        task.avoidedAgents.add(agentId);
        task.declinedAgents.add(agentId);
        this.#schedule.addDue(task);
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
          this.#schedule.addDelayed(task, PLACE_AGAIN_DELAY_MS);
        }
        return;
      default:
        task.avoidedAgents.add(agentId);
        this.#schedule.addDelayed(task, PLACE_AGAIN_DELAY_MS);
    }
  }

  /** Handles the loss of a stream; its runs may still be executing. */
  handleStreamLost(stream: AgentStream): void {
    const { agentId } = stream;
    const tasks = this.#tasks.find(
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
      task.declinedAgents.delete(agentId);
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
      const expired = this.#tasks.find(
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
    const ended = this.#tasks.find(
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
      task.state = "idle";
      this.#schedule.addDelayed(task, 0);
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

  /** Completes the job when all tasks are done, or sends the next steps. */
  #completeOrSendNext(): void {
    const unfinished = this.#tasks.findUnfinishedSteps();
    if (unfinished.length === 0) {
      this.#settle({ kind: "completed" });
      return;
    }
    for (const tasks of unfinished) {
      if (
        tasks.every(({ state }) => state === "blocked") &&
        this.#tasks.hasDependenciesDone(tasks)
      ) {
        this.#placeAndSend(tasks);
      }
    }
  }

  /**
   * Places tasks of one step that have neither a run nor a planned placement. Does
   * nothing once the job is answered, as the tasks of another step may have done.
   */
  #placeAndSend(tasks: readonly BatchTask[]): void {
    const { getLoads, isConfined, hasClaim } = this.#options;
    if (this.#isAnswered) {
      return;
    }
    if (!hasClaim()) {
      tasks.forEach((task) =>
        this.#schedule.addDelayed(task, CLAIM_CHECK_INTERVAL_MS)
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
        this.#schedule.addDelayed(task, NO_WORKER_RETRY_MS);
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
    const now = this.#getTime();
    const stepTasks = this.#tasks.steps[first.stepNumber] ?? [];
    const placedCounts = new Map<string, number>();
    for (const { state, stream } of stepTasks) {
      // A run that was lost may be executing still.
      if ((state === "sent" || state === "lost") && stream !== undefined) {
        const { agentId } = stream;
        placedCounts.set(agentId, (placedCounts.get(agentId) ?? 0) + 1);
      }
    }
    const options = {
      step: first.step,
      indexes: tasks.map((task) => task.index),
      priority: this.#options.route.priority,
      loads,
      placedCounts,
      avoidedAgents: new Map(
        tasks.map((task) => [task.index, this.#getAvoidedAgents(task, loads)]),
      ),
      farFactor: this.#options.farFactor,
      targetLeftMs: this.#latencyTargetAt - now,
    };
    const waitForecast = this.#options.placeRecord?.waitForecast;
    return first.step.sharesRack && waitForecast !== undefined
      ? placeGroup({
        ...{ ...options, waitForecast },
        placedGroup: getPlacedGroup(stepTasks, now),
        declinedAgents: new Map(
          tasks.map(({ index, declinedAgents }) => [index, declinedAgents]),
        ),
      })
      : placeTasks({ ...options, waitForecast });
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
    const { job, route, sendStart, declinePolicy, placeRecord } = this.#options;
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
      addToGroup(byAgent, agentId, task);
    }
    const spec = need.awaitedHomes > 0 ? "" : job.spec;
    const ageMs = Math.round(this.#options.getAgeMs());
    for (const [agentId, sent] of byAgent) {
      const stream = sendStart(agentId, {
        ...need,
        jobId: job.id,
        ageMs,
        route: route.name,
        spec,
        priority: route.priority,
        timeLeftMs: Math.max(0, Math.round(this.#usefulUntil - now)),
        targetLeftMs: Math.round(this.#latencyTargetAt - now),
        detourMs: Math.round(declinePolicy.detours.estimateMs(route.priority)),
        runs: sent.map((task) => createRunOrder(task, this.#options)),
      });
      for (const task of sent) {
        task.stream = stream;
        if (stream === undefined) {
          task.state = "idle";
          this.#schedule.addDelayed(task, PLACE_AGAIN_DELAY_MS);
        }
      }
    }
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
    this.#timers.stop();
    const byAgent = new Map<string, string[]>();
    for (const task of this.#tasks.getAll()) {
      if (task.state === "sent" && task.stream !== undefined) {
        const { agentId } = task.stream;
        addToGroup(byAgent, agentId, task.name);
      }
    }
    for (const [agentId, names] of byAgent) {
      this.#options.sendStop(agentId, names);
    }
    this.#resolve(answer);
    this.#checkRunsEnded();
  }
}
