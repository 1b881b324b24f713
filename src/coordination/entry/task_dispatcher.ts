import PQueue from "p-queue";
import type { DispatchError } from "../../state/errors/mod.ts";
import type { Timeline } from "../../state/timeline/mod.ts";
import type { DispatchResult } from "../messages/mod.ts";
import type { AgentLink } from "./agent_link.ts";
import type { AgentPool } from "./agent_pool.ts";
import { Attempt } from "./attempt.ts";
import { CreditRequester } from "./credit_requester.ts";
import type { PlannedTask } from "./planned_task.ts";
import {
  AgentHealth,
  createPlacementPolicy,
  type PlacementPolicy,
  PlacementSelector,
  RunTimes,
} from "./placement/mod.ts";
import { DispatchQueue, type EnqueueOptions } from "./queue/mod.ts";
import { isUpstreamFailure } from "./is_upstream_failure.ts";
import { QuotaShares } from "./quota_shares.ts";
import { RetryBudgets } from "./retry_budgets.ts";
import type { SentAttempt } from "./sent_attempt.ts";
import type { TaskAnswer } from "./task_answer.ts";
import type { TaskFailure } from "./task_failure.ts";
import { TaskRun } from "./task_run.ts";

/**
 * Expected run time of a task before one has been measured, in milliseconds. It
 * affects only the sharing between customers and the order of jobs.
 */
const DEFAULT_COST_MS = 100;

/**
 * Factor by which a job's size counts in its queue order. Other entries use the
 * same slots, so a job takes longer than its work divided by all slots.
 */
const JOB_SIZE_FACTOR = 3;

export interface TaskDispatcherOptions {
  pool: AgentPool;
  timeline: Timeline;
  /** Gets the type of the placement policy that the settings select. */
  getPlacementType: () => PlacementPolicy["type"] | undefined;
  quotas: QuotaShares;
}

/** Places tasks on agents, and retries them where that is safe. */
export class TaskDispatcher {
  readonly runTimes = new RunTimes();
  readonly #options: TaskDispatcherOptions;
  readonly #retryBudgets = new RetryBudgets();
  readonly #agentHealth: AgentHealth;
  readonly #selector: PlacementSelector<AgentLink>;
  readonly #creditRequester: CreditRequester;
  readonly #dispatchQueue: DispatchQueue;
  readonly #runningByService = new Map<string, number>();
  readonly #pQueue: PQueue<DispatchQueue, EnqueueOptions>;

  constructor(options: TaskDispatcherOptions) {
    this.#options = options;
    const { pool, quotas } = options;
    this.#agentHealth = new AgentHealth({
      getAgentIdsPerService: (id) =>
        pool.serviceIndex.getAgentIdsPerService(id),
      onChange: () => this.handleAgentChange(),
    });
    this.#selector = new PlacementSelector<AgentLink>({
      getPlacementPolicy: () =>
        createPlacementPolicy(options.getPlacementType()),
      getOfferingAgents: (service) => pool.serviceIndex.getLinks(service),
      getAgentsWithCredits: () => pool.linksWithCredits,
      canPlaceOn: (id) => this.#agentHealth.canPlaceOn(id),
      canProbe: (id, isRepeatable) =>
        this.#agentHealth.canProbe(id, isRepeatable),
      runTimes: this.runTimes,
      getWaitingCount: (service) =>
        this.#dispatchQueue.waitingByService.get(service) ?? 0,
      onHoldExpired: () => this.startPlaceableTasks(),
    });
    const dispatchQueue = new DispatchQueue({
      hasAvailableAgent: (service) => this.#selector.hasAvailableAgent(service),
      canPlace: (task) => this.#selector.select(task) !== undefined,
      getMaxRunning: (customer, team) =>
        quotas.get("maxRunning", customer, team),
    });
    this.#dispatchQueue = dispatchQueue;
    this.#creditRequester = new CreditRequester({
      serviceIndex: pool.serviceIndex,
      getRunnableByService: () => dispatchQueue.getRunnableByService(),
    });
    // p-queue instantiates its queue class itself; this constructor returns the
    // instance to which this class keeps a reference.
    const queueClass = function () {
      return dispatchQueue;
    } as unknown as new () => DispatchQueue;
    this.#pQueue = new PQueue<DispatchQueue, EnqueueOptions>({
      queueClass,
    });
  }

  /** Gets the queue of the waiting tasks. */
  get queue(): DispatchQueue {
    return this.#dispatchQueue;
  }

  /**
   * Gets the sort key of a job in the queue: the current time plus the weighted
   * time in which all slots of this entry's agents could run the job. A small
   * job thus overtakes a large one that arrived shortly before, which keeps
   * response times in proportion to the work, and no job is starved.
   * @param runTimeKey - Key under which the run times are recorded.
   * @param tasks - Number of tasks of the job.
   */
  getOrder(runTimeKey: string, tasks: number): number {
    const costMs = this.runTimes.getMean(runTimeKey) ?? DEFAULT_COST_MS;
    const slots = Math.max(1, this.#options.pool.getSlots());
    return performance.now() + JOB_SIZE_FACTOR * tasks * costMs / slots;
  }

  /** Gets the number of running tasks of a service. */
  getRunningCount(service: string): number {
    return this.#runningByService.get(service) ?? 0;
  }

  /** Gets the number of waiting tasks to report to one agent. */
  getDemand(link: AgentLink): number {
    return this.#creditRequester.getDemand(link);
  }

  /** Stops the timers. */
  stop(): void {
    this.#creditRequester.stop();
    this.#selector.stop();
  }

  /**
   * Re-evaluates which agents can be used, after the links, the cluster view or
   * the health of an agent have changed.
   */
  handleAgentChange(): void {
    this.#selector.invalidateUsable();
    this.startPlaceableTasks();
  }

  /**
   * Discards the health and the run times of an agent that has left, was
   * removed or is out of service.
   */
  removeAgent(agentId: string): void {
    this.#agentHealth.removeAgent(agentId);
    this.runTimes.removeAgent(agentId);
  }

  /** Starts the waiting tasks that can be placed now. */
  startPlaceableTasks(): void {
    // Setting the concurrency makes p-queue process its queue again.
    this.#pQueue.concurrency = Number.POSITIVE_INFINITY;
  }

  /**
   * Runs a task until it has an answer or has failed permanently.
   * @param task - The task.
   * @param signal - Aborts with a `DispatchError` as its reason.
   */
  async run(
    task: PlannedTask,
    signal: AbortSignal,
  ): Promise<TaskAnswer | TaskFailure> {
    return await new TaskRun({
      task,
      signal,
      place: (options) => this.#place(task, options),
      onResult: (attempt, result) => this.#handleResult(task, attempt, result),
      getStragglerThresholdMs: () =>
        this.runTimes.getStragglerThresholdMs(task.runTimeKey),
      budgets: this.#retryBudgets,
      timeline: this.#options.timeline,
    }).run();
  }

  async #place(
    task: PlannedTask,
    options: {
      number: number;
      avoidId: string | undefined;
      signal: AbortSignal;
    },
  ): Promise<Attempt | undefined> {
    const { signal, avoidId, number } = options;
    if (signal.aborted) {
      return undefined;
    }
    const {
      key,
      customer,
      team,
      service,
      runTimeKey,
      homeId,
      repeatable,
    } = task;
    const costMs = this.runTimes.getMean(runTimeKey) ?? DEFAULT_COST_MS;
    const { priority, order, weight, teamWeight } = task;
    const placementFields = {
      key,
      customer,
      team,
      service,
      runTimeKey,
      homeId,
      repeatable,
    };
    let sentAttempt: Attempt | undefined;
    try {
      for (;;) {
        const placed = this.#pQueue.add(
          () => {
            sentAttempt = this.#send(task, { number, avoidId });
            return Promise.resolve(sentAttempt);
          },
          {
            ...placementFields,
            avoidId,
            priority,
            order,
            weight,
            teamWeight,
            costMs,
            signal,
          },
        );
        if (this.#dispatchQueue.waiting > 0) {
          this.#creditRequester.scheduleRequests();
        }
        const attempt = await placed;
        if (attempt !== undefined) {
          return attempt;
        }
      }
    } catch {
      // The signal has aborted, possibly after the attempt was sent but before
      // p-queue's promise resolved. In that case only the attempt's result
      // states whether the task ran.
      return sentAttempt;
    }
  }

  /**
   * Sends an attempt. Returns undefined when no agent can take the task any
   * more.
   */
  #send(
    task: PlannedTask,
    options: { number: number; avoidId: string | undefined },
  ): Attempt | undefined {
    const { number, avoidId } = options;
    const link = this.#selector.select({ ...task, avoidId, isDequeued: true });
    if (link === undefined) {
      return undefined;
    }
    const { key, index, customer, team, service } = task;
    const detail = link.member.id;
    this.#options.timeline.record("task_sent", {
      key,
      index,
      attempt: number,
      detail,
    });
    const type = this.#options.getPlacementType() ?? "credits";
    const onCredit = type === "credits";
    const attempt = new Attempt({ task, link, number, onCredit });
    this.#dispatchQueue.addRunning(customer, team);
    this.#adjustRunning(service, 1);
    this.#agentHealth.recordPlacement(detail);
    this.#retryBudgets.recordStart(customer);
    this.#creditRequester.recordDispatch();
    return attempt;
  }

  #handleResult(
    task: PlannedTask,
    attempt: SentAttempt,
    result: DispatchResult | DispatchError,
  ): void {
    const id = attempt.agentId;
    this.#recordEnd(task);
    if ("kind" in result) {
      this.#agentHealth.recordNeutral(id);
    } else if (isUpstreamFailure(result)) {
      this.#agentHealth.recordFailure(id);
    } else if (result.errorKind === "") {
      this.#agentHealth.recordSuccess(id);
      this.runTimes.record(task.runTimeKey, id, result.runMs);
      if (task.runTimeKey !== task.service) {
        this.runTimes.record(task.service, id, result.runMs);
      }
    } else {
      this.#agentHealth.recordNeutral(id);
    }
    this.startPlaceableTasks();
  }

  #recordEnd({ customer, team, service }: PlannedTask): void {
    this.#dispatchQueue.releaseRunning(customer, team);
    this.#adjustRunning(service, -1);
  }

  #adjustRunning(service: string, change: number): void {
    this.#runningByService.set(service, this.getRunningCount(service) + change);
  }
}
