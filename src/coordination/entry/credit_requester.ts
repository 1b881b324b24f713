import type { AgentLink } from "./agent_link.ts";
import type { ServiceIndex } from "./service_index.ts";

/**
 * Minimum interval between two rounds of credit requests, in milliseconds.
 * Dispatches report the demand in the meantime.
 */
const CHECK_INTERVAL_MS = 10;

/**
 * Credit requests that each dispatch adds to the budget. This keeps the
 * requests below half of the allowed 0.1 wasted messages per task.
 */
const REQUESTS_PER_DISPATCH = 0.04;

/**
 * Credit requests per second that are added to the budget without a dispatch,
 * so that an entry that gets no credits can still request some.
 */
const REQUESTS_PER_SECOND = 5;

export interface CreditRequesterOptions {
  serviceIndex: ServiceIndex;
  /**
   * Gets the number of waiting tasks by service that the quotas allow to run.
   */
  getRunnableByService: () => ReadonlyMap<string, number>;
}

/**
 * Requests credits from the agents. The waiting tasks are divided among the
 * agents that can run them: if each agent was told the length of the whole
 * queue, they would together revoke many more credits from other entries than
 * there are tasks.
 */
export class CreditRequester {
  readonly #options: CreditRequesterOptions;
  #rotation = 0;
  #requestBudget = Number.POSITIVE_INFINITY;
  #budgetUpdatedAt = performance.now();
  #lastRoundAt = -Infinity;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: CreditRequesterOptions) {
    this.#options = options;
  }

  /** Gets one agent's part of the waiting tasks. */
  getDemand(link: AgentLink): number {
    const { serviceIndex, getRunnableByService } = this.#options;
    let demand = 0;
    for (const [service, waiting] of getRunnableByService()) {
      const position = serviceIndex.getPosition(service, link);
      if (position !== undefined && waiting > 0) {
        const agents = serviceIndex.getLinks(service).length;
        const rotatedPosition = (position + this.#rotation) % agents;
        demand += Math.floor(waiting / agents) +
          (rotatedPosition < waiting % agents ? 1 : 0);
      }
    }
    return demand;
  }

  /** Records a dispatch, which adds a part of a request to the budget. */
  recordDispatch(): void {
    this.#requestBudget += REQUESTS_PER_DISPATCH;
  }

  /**
   * Schedules a round of credit requests, which repeats while runnable tasks
   * wait.
   */
  scheduleRequests(): void {
    const delayMs = this.#lastRoundAt + CHECK_INTERVAL_MS - performance.now();
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#lastRoundAt = performance.now();
      this.#sendRequests();
    }, Math.max(0, delayMs));
  }

  /** Stops the credit requests. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  #sendRequests(): void {
    const { serviceIndex, getRunnableByService } = this.#options;
    const now = performance.now();
    const links = new Set<AgentLink>();
    for (const [service, waiting] of getRunnableByService()) {
      if (waiting > 0) {
        serviceIndex.getLinks(service).forEach((link) => links.add(link));
      }
    }
    const addedRequests = (now - this.#budgetUpdatedAt) * REQUESTS_PER_SECOND /
      1_000;
    // A full budget allows one request to each agent, which a job that arrives
    // at an empty queue needs.
    this.#requestBudget = Math.min(
      links.size,
      this.#requestBudget + addedRequests,
    );
    this.#budgetUpdatedAt = now;
    for (const link of links) {
      const demand = this.getDemand(link);
      const hasGrown = demand >= 2 * link.reportedQueued &&
        demand > link.credits;
      if (this.#requestBudget >= 1 && hasGrown && link.canRequestCredits()) {
        this.#requestBudget--;
        link.requestCredits(demand);
      }
    }
    // The remainder of the division goes to other agents in the next round,
    // because the agents of this round may have no free slot.
    this.#rotation++;
    if (links.size > 0) {
      this.scheduleRequests();
    }
  }
}
