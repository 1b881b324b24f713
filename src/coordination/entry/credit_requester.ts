import type { AgentLink } from "./agent_link.ts";
import type { ServiceIndex } from "./service_index.ts";

/**
 * Shortest time between two looks for agents to ask, in milliseconds.
 * Dispatches tell the queue meanwhile.
 */
const INTERVAL_MS = 10;

/**
 * Wants that each dispatch earns: keeps them below half of the allowed 0.1
 * wasted messages a task.
 */
const WANTS_PER_DISPATCH = 0.04;

/**
 * Wants that are earned a second without a dispatch, so that a queue that gets
 * no credit can still ask.
 */
const WANTS_PER_SECOND = 5;

export interface CreditRequesterOptions {
  serviceIndex: ServiceIndex;
  /** Gets the number of waiting tasks by service that could run now. */
  getRunnableByService: () => ReadonlyMap<string, number>;
}

/**
 * Tells the agents how many slots this entry wants. The waiting tasks are
 * divided over the agents that can run them: if each was told the whole queue,
 * they would together take many more credits from other entries than there are
 * tasks.
 */
export class CreditRequester {
  readonly #options: CreditRequesterOptions;
  #rotation = 0;
  #budget = Number.POSITIVE_INFINITY;
  #earnedAt = performance.now();
  #checkedAt = -Infinity;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: CreditRequesterOptions) {
    this.#options = options;
  }

  /** Gets the number of waiting tasks that one agent is told. */
  getDemand(link: AgentLink): number {
    const { serviceIndex: index, getRunnableByService: getWanted } =
      this.#options;
    let share = 0;
    for (const [service, waiting] of getWanted()) {
      const position = index.getPosition(service, link);
      if (position !== undefined && waiting > 0) {
        const agents = index.getLinks(service).length;
        const turn = (position + this.#rotation) % agents;
        share += Math.floor(waiting / agents) +
          (turn < waiting % agents ? 1 : 0);
      }
    }
    return share;
  }

  /** Records a dispatch, which earns a part of a want. */
  recordDispatch(): void {
    this.#budget += WANTS_PER_DISPATCH;
  }

  /** Starts a look for agents to ask, after tasks were left waiting. */
  scheduleRequests(): void {
    const delay = this.#checkedAt + INTERVAL_MS - performance.now();
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#checkedAt = performance.now();
      this.#sendWants();
    }, Math.max(0, delay));
  }

  /** Stops asking. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  #sendWants(): void {
    const { serviceIndex: index, getRunnableByService: getWanted } =
      this.#options;
    const now = performance.now();
    const links = new Set<AgentLink>();
    for (const [service, waiting] of getWanted()) {
      if (waiting > 0) {
        index.getLinks(service).forEach((link) => links.add(link));
      }
    }
    const earned = (now - this.#earnedAt) * WANTS_PER_SECOND / 1_000;
    // A full budget allows one want to each agent: what a sudden job needs.
    this.#budget = Math.min(links.size, this.#budget + earned);
    this.#earnedAt = now;
    for (const link of links) {
      const share = this.getDemand(link);
      const isNews = share >= 2 * link.reportedQueued && share > link.credits;
      if (this.#budget >= 1 && isNews && link.canRequestCredits()) {
        this.#budget--;
        link.requestCredits(share);
      }
    }
    // The odd tasks are told to other agents next time: the asked ones may have
    // no slot to give.
    this.#rotation++;
    if (links.size > 0) {
      this.scheduleRequests();
    }
  }
}
