import type { MemberState, ViewEvent } from "../../state/view/mod.ts";
import type { LogFollower } from "../follower/mod.ts";
import { AgentLink, type AgentLinkOptions } from "./agent_link.ts";
import { ServiceIndex } from "./service_index.ts";

export interface AgentPoolOptions
  extends
    Omit<AgentLinkOptions, "member" | "onCreditsChange" | "wantsCredits"> {
  follower: LogFollower;
  /** Called when an agent has granted credits. */
  onCreditsGained: () => void;
  /**
   * Called when an agent has left, was removed or is out of service. It may
   * return as a different machine.
   */
  onAgentUnavailable: (memberId: string) => void;
}

/**
 * The links of an entry. It places tasks on the agents of its subset, which the
 * cluster view assigns to it. Links to other agents, which store claims of its
 * idempotency keys, are opened on demand and carry only claims.
 */
export class AgentPool {
  readonly #options: AgentPoolOptions;
  readonly #links = new Map<string, AgentLink>();
  /** The linked agents by service. */
  readonly serviceIndex: ServiceIndex;
  /** The links with unused credits, the least recently used first. */
  readonly linksWithCredits = new Set<AgentLink>();
  readonly #offeredServices = new Set<string>();
  #isStarted = false;

  constructor(options: AgentPoolOptions) {
    this.#options = options;
    this.serviceIndex = new ServiceIndex({
      view: options.follower.view,
      getLinks: () => this.getSubsetLinks(),
      onOutOfService: options.onAgentUnavailable,
    });
    options.follower.addListener((event) => this.#handleViewEvent(event));
  }

  /** Gets the link to an agent for claims, and opens it when there is none. */
  getOrOpenLink(memberId: string): AgentLink | undefined {
    const member = this.#options.follower.view.getMember(memberId);
    if (this.#isStarted && member?.role === "agent") {
      this.#openLink(member);
    }
    return this.#links.get(memberId);
  }

  /** Gets the links to the agents of the subset, which this entry monitors. */
  getSubsetLinks(): AgentLink[] {
    return [...this.#links.values()].filter((link) => link.wantsCredits);
  }

  /**
   * Opens links to the agents of the subset. Later changes of the subset are
   * applied on the events of the cluster view.
   */
  start(): void {
    this.#isStarted = true;
    this.#applySubset();
  }

  /** Closes all links. */
  close(): void {
    this.#isStarted = false;
    for (const id of [...this.#links.keys()]) {
      this.#closeLink(id);
    }
  }

  /** Gets the number of unused credits of all agents. */
  getCredits(): number {
    let credits = 0;
    for (const link of this.linksWithCredits) {
      credits += link.credits;
    }
    return credits;
  }

  /** Gets the number of slots of all agents of the subset. */
  getSlots(): number {
    let slots = 0;
    for (const { member, wantsCredits } of this.#links.values()) {
      slots += wantsCredits ? member.slots : 0;
    }
    return slots;
  }

  /**
   * Returns whether any agent known to this entry, in service or not, has ever
   * offered the service.
   */
  wasOffered(service: string): boolean {
    return this.#offeredServices.has(service);
  }

  /** Returns whether a linked agent in service offers the service. */
  hasService(service: string): boolean {
    return this.serviceIndex.getLinks(service).length > 0;
  }

  /**
   * Updates the links with credits. The least recently used one comes first,
   * which spreads tasks over equal agents.
   */
  #handleCreditsChange(
    link: AgentLink,
    options: { hasIncreased: boolean },
  ): void {
    this.linksWithCredits.delete(link);
    if (link.credits > 0) {
      this.linksWithCredits.add(link);
    }
    // A dispatch consumes a credit while the queue is being processed, which
    // must not start another pass over the queue.
    if (options.hasIncreased) {
      this.#options.onCreditsGained();
    }
  }

  #handleViewEvent(event: ViewEvent): void {
    switch (event.type) {
      case "joined":
        event.member.services.forEach((name) =>
          this.#offeredServices.add(name)
        );
        break;
      case "left":
      case "removed":
        this.#closeLink(event.member.id);
        break;
      case "leaving":
      case "change":
      case "skipped":
        break;
      default:
        return event satisfies never;
    }
    if (this.#isStarted) {
      this.#applySubset();
      this.#options.onChange();
    }
  }

  /**
   * Opens links to agents that are new in the subset, and stops placing tasks
   * on those that have left it.
   */
  #applySubset(): void {
    const { view } = this.#options.follower;
    for (const member of view.getMembers("agent")) {
      const link = this.#links.get(member.id);
      const wantsCredits = this.#isInSubset(member);
      if (link === undefined && wantsCredits) {
        this.#openLink(member);
      } else if (link !== undefined && link.wantsCredits !== wantsCredits) {
        link.setWantsCredits(wantsCredits);
        this.serviceIndex.invalidate();
      }
    }
  }

  #isInSubset(member: MemberState): boolean {
    const { memberId, follower } = this.#options;
    return follower.view.getEntriesOf(member.id).has(memberId);
  }

  #openLink(member: MemberState): void {
    if (this.#links.has(member.id)) {
      return;
    }
    member.services.forEach((service) => this.#offeredServices.add(service));
    const link = new AgentLink({
      ...this.#options,
      member,
      wantsCredits: this.#isInSubset(member),
      onCreditsChange: (changedLink, change) =>
        this.#handleCreditsChange(changedLink, change),
    });
    this.#links.set(member.id, link);
    this.serviceIndex.invalidate();
    void link.run();
  }

  #closeLink(id: string): void {
    const link = this.#links.get(id);
    if (link !== undefined) {
      link.close();
      this.linksWithCredits.delete(link);
      this.#links.delete(id);
      this.serviceIndex.invalidate();
      this.#options.onAgentUnavailable(id);
    }
  }
}
