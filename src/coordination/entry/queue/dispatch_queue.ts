import type { Queue } from "p-queue";
import { CustomerQueue } from "./customer_queue.ts";
import type { EnqueueOptions } from "./enqueue_options.ts";
import type { DispatchQueuePolicy } from "./dispatch_queue_policy.ts";
import type { FairQueueState } from "./fair_queue_state.ts";
import type { TeamQueue } from "./team_queue.ts";
import type { WaitingTask } from "./waiting_task.ts";

type RunFunction = () => Promise<unknown>;

/**
 * Number of customers from which idle ones are deleted before another one is
 * added. A customer whose virtual time is ahead of the last served one is kept,
 * since its deletion would reset the virtual time.
 */
const IDLE_REMOVAL_MIN_CUSTOMERS = 1_000;

/**
 * The queue class for p-queue: weighted fair queuing of slot time between
 * customers, and between the teams of a customer; priorities within a team. Its
 * size is 0 while no task can be placed, so p-queue starts a task exactly when
 * an agent can take it. Finding the next task doesn't iterate over all tasks.
 */
export class DispatchQueue implements Queue<RunFunction, EnqueueOptions> {
  readonly #policy: DispatchQueuePolicy;
  readonly #customers = new Map<string, CustomerQueue>();
  readonly #tasks = new Map<string, WaitingTask>();
  readonly #waitingByService = new Map<string, number>();
  /** Virtual time of the customer that was served last. */
  #lastServedVirtualTime = 0;
  /** The task that `size` has found, for the `dequeue` that follows it. */
  #nextTask: WaitingTask | undefined;

  constructor(policy: DispatchQueuePolicy) {
    this.#policy = policy;
  }

  /** Gets the number of waiting tasks. */
  get waiting(): number {
    return this.#tasks.size;
  }

  /** Gets the number of waiting tasks by service. */
  get waitingByService(): ReadonlyMap<string, number> {
    return this.#waitingByService;
  }

  /**
   * Gets the number of waiting tasks by service that the quotas allow to run
   * now.
   */
  getRunnableByService(): Map<string, number> {
    const { getMaxRunning } = this.#policy;
    const runnable = new Map<string, number>();
    for (const [name, queue] of this.#customers) {
      let remaining = Math.max(0, getMaxRunning(name) - queue.running);
      for (const [teamName, team] of queue.waiting > 0 ? queue.teams : []) {
        const limit = Math.max(0, getMaxRunning(name, teamName) - team.running);
        remaining -= team.addRunnable(runnable, Math.min(remaining, limit));
      }
    }
    return runnable;
  }

  /**
   * Gets the number of waiting tasks, or 0 while none of them can be placed.
   */
  get size(): number {
    this.#nextTask = this.#findNext();
    return this.#nextTask === undefined ? 0 : this.#tasks.size;
  }

  /**
   * Gets the virtual time and the numbers of waiting and running tasks of a
   * customer, or of one of its teams.
   */
  getQueueState(
    customer: string,
    team?: string,
  ): Readonly<FairQueueState> | undefined {
    const queue = this.#customers.get(customer);
    return team === undefined ? queue : queue?.teams.get(team);
  }

  /** Gets the customers that have waiting tasks. */
  getWaitingCustomers(): string[] {
    return [...this.#customers].filter(([, { waiting }]) => waiting > 0)
      .map(([name]) => name);
  }

  enqueue(run: RunFunction, options?: Partial<EnqueueOptions>): void {
    const task: WaitingTask = {
      run,
      options: options as EnqueueOptions,
      isRemoved: false,
    };
    const { customer, team, id = "" } = task.options;
    const queue = this.#getCustomer(customer);
    const teamQueue = queue.getTeam(team);
    if (queue.waiting === 0) {
      queue.virtualTime = Math.max(
        queue.virtualTime,
        this.#lastServedVirtualTime,
      );
    }
    if (teamQueue.waiting === 0) {
      teamQueue.virtualTime = Math.max(
        teamQueue.virtualTime,
        queue.lastServedVirtualTime,
      );
    }
    teamQueue.add(task);
    queue.waiting++;
    this.#tasks.set(id, task);
    this.#addWaiting(task, 1);
  }

  dequeue(): RunFunction | undefined {
    const task = this.#nextTask ?? this.#findNext();
    if (task === undefined) {
      return undefined;
    }
    const { customer, team, weight, teamWeight, costMs } = task.options;
    const queue = this.#getCustomer(customer);
    const teamQueue = queue.getTeam(team);
    this.#lastServedVirtualTime = queue.virtualTime;
    queue.lastServedVirtualTime = teamQueue.virtualTime;
    queue.virtualTime += costMs / weight;
    teamQueue.virtualTime += costMs / teamWeight;
    this.#remove(task);
    return task.run;
  }

  filter(options: Readonly<Partial<EnqueueOptions>>): RunFunction[] {
    return [...this.#tasks.values()]
      .filter((task) => task.options.priority === options.priority)
      .map((task) => task.run);
  }

  setPriority(): void {
    throw new Error("the priority of a waiting task doesn't change");
  }

  remove(id: string): void {
    const task = this.#tasks.get(id);
    if (task !== undefined) {
      task.isRemoved = true;
      this.#remove(task);
    }
  }

  /** Records that a task was sent after it had left the queue. */
  addRunning(customer: string, team: string): void {
    const queue = this.#getCustomer(customer);
    queue.running++;
    queue.getTeam(team).running++;
  }

  /** Records that a sent task has ended. */
  releaseRunning(customer: string, team: string): void {
    const queue = this.#getCustomer(customer);
    queue.running--;
    queue.getTeam(team).running--;
  }

  #remove(task: WaitingTask): void {
    const queue = this.#getCustomer(task.options.customer);
    queue.getTeam(task.options.team).remove(task);
    queue.waiting--;
    this.#tasks.delete(task.options.id ?? "");
    this.#addWaiting(task, -1);
    this.#nextTask = undefined;
  }

  #addWaiting(task: WaitingTask, count: number): void {
    const { service } = task.options;
    const waiting = (this.#waitingByService.get(service) ?? 0) + count;
    if (waiting === 0) {
      this.#waitingByService.delete(service);
    } else {
      this.#waitingByService.set(service, waiting);
    }
  }

  #getCustomer(name: string): CustomerQueue {
    let queue = this.#customers.get(name);
    if (queue === undefined) {
      if (this.#customers.size >= IDLE_REMOVAL_MIN_CUSTOMERS) {
        this.#removeIdleCustomers();
      }
      queue = new CustomerQueue();
      this.#customers.set(name, queue);
    }
    return queue;
  }

  #removeIdleCustomers(): void {
    for (const [name, queue] of this.#customers) {
      const isIdle = queue.waiting === 0 && queue.running === 0;
      if (isIdle && queue.virtualTime <= this.#lastServedVirtualTime) {
        this.#customers.delete(name);
      }
    }
  }

  #findNext(): WaitingTask | undefined {
    const { hasAvailableAgent, canPlace, getMaxRunning } = this.#policy;
    const availableServices = new Set(
      [...this.#waitingByService.keys()].filter((name) =>
        hasAvailableAgent(name)
      ),
    );
    if (availableServices.size === 0) {
      return undefined;
    }
    const findInTeam = (team: TeamQueue) =>
      team.findFirst(
        (service) => availableServices.has(service),
        (task) => canPlace(task.options),
      );
    return findFair(this.#customers, getMaxRunning, (queue, name) =>
      findFair(
        queue.teams,
        (team) => getMaxRunning(name, team),
        findInTeam,
      ));
  }
}

/**
 * Finds a task of the queue with the lowest virtual time, among the queues that
 * may run more tasks and have one that can be placed.
 */
function findFair<T extends FairQueueState>(
  queues: ReadonlyMap<string, T>,
  getMaxRunning: (name: string) => number,
  find: (queue: T, name: string) => WaitingTask | undefined,
): WaitingTask | undefined {
  let best: { task: WaitingTask; virtualTime: number } | undefined;
  for (const [name, queue] of queues) {
    const { virtualTime } = queue;
    if (
      queue.waiting > 0 &&
      (best === undefined || virtualTime < best.virtualTime) &&
      queue.running < getMaxRunning(name)
    ) {
      const task = find(queue, name);
      best = task === undefined ? best : { task, virtualTime };
    }
  }
  return best?.task;
}
