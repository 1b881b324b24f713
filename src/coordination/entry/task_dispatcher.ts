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
 * Expected run time of a task while none is known, in milliseconds. It only
 * weighs customers.
 */
const DEFAULT_COST_MS = 100;

/**
 * Weight of a job's size in its order. With one entry of several, a job gets a
 * part of the slots only, so it would take longer than its share of all slots
 * says.
 */
const ORDER_FACTOR = 3;

export interface TaskDispatcherOptions {
  pool: AgentPool;
  timeline: Timeline;
  /** Gets the name of the placement that the settings name. */
  getPlacementType: () => PlacementPolicy["type"] | undefined;
  quotas: QuotaShares;
}

/** Places tasks on agents, and tries again where that is safe. */
export class TaskDispatcher {
  readonly runTimes = new RunTimes();
  readonly #options: TaskDispatcherOptions;
  readonly #budgets = new RetryBudgets();
  readonly #health: AgentHealth;
  readonly #selector: PlacementSelector<AgentLink>;
  readonly #demand: CreditRequester;
  readonly #waiting: DispatchQueue;
  readonly #runningByService = new Map<string, number>();
  readonly #queue: PQueue<DispatchQueue, EnqueueOptions>;

  constructor(options: TaskDispatcherOptions) {
    this.#options = options;
    const { pool, quotas } = options;
    this.#health = new AgentHealth({
      getAgentIdsPerService: (id) =>
        pool.serviceIndex.getAgentIdsPerService(id),
      onChange: () => this.handleAgentChange(),
    });
    this.#selector = new PlacementSelector<AgentLink>({
      getPlacementPolicy: () =>
        createPlacementPolicy(options.getPlacementType()),
      getOfferingAgents: (service) => pool.serviceIndex.getLinks(service),
      getAgentsWithCredits: () => pool.linksWithCredits,
      canPlaceOn: (id) => this.#health.canPlaceOn(id),
      canProbe: (id, isRepeatable) => this.#health.canProbe(id, isRepeatable),
      runTimes: this.runTimes,
      getWaiting: (service) => this.#waiting.waitingByService.get(service) ?? 0,
      onHoldExpired: () => this.startPlaceable(),
    });
    const waiting = new DispatchQueue({
      hasAvailableAgent: (service) => this.#selector.hasAvailableAgent(service),
      canPlace: (task) => this.#selector.select(task) !== undefined,
      getMaxRunning: (customer, team) =>
        quotas.get("maxRunning", customer, team),
    });
    this.#waiting = waiting;
    this.#demand = new CreditRequester({
      serviceIndex: pool.serviceIndex,
      getRunnableByService: () => waiting.getRunnableByService(),
    });
    // p-queue creates its queue itself; the constructor returns the one that
    // this class also looks into.
    const queueClass = function () {
      return waiting;
    } as unknown as new () => DispatchQueue;
    this.#queue = new PQueue<DispatchQueue, EnqueueOptions>({
      queueClass,
    });
  }

  /** Gets the waiting tasks. */
  get queue(): DispatchQueue {
    return this.#waiting;
  }

  /**
   * Gets the order of a job in the queue: the time now, plus the time in which
   * the slots of this entry's agents could run the whole job. So a small job
   * passes a large one that came shortly before, which keeps response times in
   * proportion to the work, and no job is passed for ever.
   */
  getOrder(runKey: string, tasks: number): number {
    const costMs = this.runTimes.getMean(runKey) ?? DEFAULT_COST_MS;
    const slots = Math.max(1, this.#options.pool.getSlots());
    return performance.now() + ORDER_FACTOR * tasks * costMs / slots;
  }

  /** Gets the number of running tasks of a service. */
  getRunning(service: string): number {
    return this.#runningByService.get(service) ?? 0;
  }

  /** Gets the number of waiting tasks that one agent is told. */
  getDemand(link: AgentLink): number {
    return this.#demand.getDemand(link);
  }

  /** Stops the timers. */
  stop(): void {
    this.#demand.stop();
    this.#selector.stop();
  }

  /**
   * Looks again which agents may be used, after links, the view or the health
   * of an agent have changed.
   */
  handleAgentChange(): void {
    this.#selector.invalidateUsable();
    this.startPlaceable();
  }

  /** Forgets an agent that was removed or has left. */
  removeAgent(agentId: string): void {
    this.#health.removeAgent(agentId);
    this.runTimes.removeAgent(agentId);
  }

  /** Starts the waiting tasks that can be placed now. */
  startPlaceable(): void {
    // Setting the concurrency is p-queue's way to look at its queue again.
    this.#queue.concurrency = Number.POSITIVE_INFINITY;
  }

  /**
   * Runs a task until it has an answer or has failed for good.
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
      budgets: this.#budgets,
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
      runTimeKey: runKey,
      homeId,
      repeatable,
    } = task;
    const costMs = this.runTimes.getMean(runKey) ?? DEFAULT_COST_MS;
    const { priority, order, weight, teamWeight } = task;
    const place = {
      key,
      customer,
      team,
      service,
      runTimeKey: runKey,
      homeId,
      repeatable,
    };
    let sent: Attempt | undefined;
    try {
      for (;;) {
        const placed = this.#queue.add(
          () => {
            sent = this.#send(task, { number, avoidId });
            return Promise.resolve(sent);
          },
          {
            ...place,
            avoidId,
            priority,
            order,
            weight,
            teamWeight,
            costMs,
            signal,
          },
        );
        if (this.#waiting.waiting > 0) {
          this.#demand.scheduleRequests();
        }
        const attempt = await placed;
        if (attempt !== undefined) {
          return attempt;
        }
      }
    } catch {
      // The signal has aborted, perhaps between the send and the queue's report
      // of it. Then the attempt is on its way, and only its result says whether
      // it ran.
      return sent;
    }
  }

  /**
   * Sends an attempt; gets undefined when the agent that the queue had seen
   * can't take it any more.
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
    this.#waiting.addRunning(customer, team);
    this.#addRunning(service, 1);
    this.#health.recordPlacement(detail);
    this.#budgets.recordStart(customer);
    this.#demand.recordDispatch();
    return attempt;
  }

  #handleResult(
    task: PlannedTask,
    attempt: SentAttempt,
    result: DispatchResult | DispatchError,
  ): void {
    const id = attempt.agentId;
    this.#release(task);
    if ("kind" in result) {
      this.#health.recordNeutral(id);
    } else if (isUpstreamFailure(result)) {
      this.#health.recordFailure(id);
    } else if (result.errorKind === "") {
      this.#health.recordSuccess(id);
      this.runTimes.record(task.runTimeKey, id, result.runMs);
      if (task.runTimeKey !== task.service) {
        this.runTimes.record(task.service, id, result.runMs);
      }
    } else {
      this.#health.recordNeutral(id);
    }
    this.startPlaceable();
  }

  #release({ customer, team, service }: PlannedTask): void {
    this.#waiting.releaseRunning(customer, team);
    this.#addRunning(service, -1);
  }

  #addRunning(service: string, count: number): void {
    this.#runningByService.set(service, this.getRunning(service) + count);
  }
}
