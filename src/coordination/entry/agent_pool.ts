import type { MemberState, ViewEvent } from "../../state/view/mod.ts";
import type { LogFollower } from "../follower/mod.ts";
import { AgentLink, type AgentLinkOptions } from "./agent_link.ts";
import { ServiceIndex } from "./service_index.ts";

export interface AgentPoolOptions
  extends
    Omit<AgentLinkOptions, "member" | "onCreditsChange" | "wantsCredits"> {
  follower: LogFollower;
  /** Called when an agent has a credit that it had not. */
  onCreditsGained: () => void;
  /**
   * Called when an agent has left, was removed or is out of service: it may
   * come back as another machine.
   */
  onRemove: (memberId: string) => void;
}

/**
 * The links of an entry: to the agents of its subset, on which it places tasks,
 * and to other agents that are homes of its keys. Those are opened on demand
 * and carry only claims.
 */
export class AgentPool {
  readonly #options: AgentPoolOptions;
  readonly #links = new Map<string, AgentLink>();
  /** The linked agents by service. */
  readonly serviceIndex: ServiceIndex;
  /** The agents with unused credits. */
  readonly linksWithCredits = new Set<AgentLink>();
  readonly #offered = new Set<string>();
  #isOpen = false;

  constructor(options: AgentPoolOptions) {
    this.#options = options;
    this.serviceIndex = new ServiceIndex({
      view: options.follower.view,
      getLinks: () => this.getSubsetLinks(),
      onOutOfService: options.onRemove,
    });
    options.follower.addListener((event) => this.#handleViewEvent(event));
  }

  /** Gets the link to an agent, for claims. It is opened when there is none. */
  getOrOpenLink(memberId: string): AgentLink | undefined {
    const member = this.#options.follower.view.getMember(memberId);
    if (this.#isOpen && member?.role === "agent") {
      this.#add(member);
    }
    return this.#links.get(memberId);
  }

  /** Gets the links to the agents of the subset; this entry watches them. */
  getSubsetLinks(): AgentLink[] {
    return [...this.#links.values()].filter((link) => link.wantsCredits);
  }

  /**
   * Opens links to the agents of the subset; later ones follow by the events of
   * the view.
   */
  start(): void {
    this.#isOpen = true;
    this.#applySubset();
  }

  /** Closes all links. */
  close(): void {
    this.#isOpen = false;
    for (const id of [...this.#links.keys()]) {
      this.#remove(id);
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
   * Has some agent that this entry knew offered the service, in service or not?
   */
  wasOffered(service: string): boolean {
    return this.#offered.has(service);
  }

  /** Does some agent in service offer the service? */
  hasService(service: string): boolean {
    return this.serviceIndex.getLinks(service).length > 0;
  }

  /**
   * Keeps the agents with credits, the least recently used first: that spreads
   * tasks over equal agents.
   */
  #handleCredits(link: AgentLink, options: { hasIncreased: boolean }): void {
    this.linksWithCredits.delete(link);
    if (link.credits > 0) {
      this.linksWithCredits.add(link);
    }
    // A dispatch uses a credit in the middle of a look at the queue, which must
    // not start another one.
    if (options.hasIncreased) {
      this.#options.onCreditsGained();
    }
  }

  #handleViewEvent(event: ViewEvent): void {
    switch (event.type) {
      case "joined":
        event.member.services.forEach((name) => this.#offered.add(name));
        break;
      case "left":
      case "removed":
        this.#remove(event.member.id);
        break;
      case "leaving":
      case "change":
        break;
      default:
        return event satisfies never;
    }
    if (this.#isOpen) {
      this.#applySubset();
      this.#options.onChange();
    }
  }

  /**
   * Opens streams to agents that are new in the subset, and withdraws from
   * those that have left it.
   */
  #applySubset(): void {
    const { view } = this.#options.follower;
    for (const member of view.getMembers("agent")) {
      const link = this.#links.get(member.id);
      const wantsCredits = this.#isInSubset(member);
      if (link === undefined && wantsCredits) {
        this.#add(member);
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

  #add(member: MemberState): void {
    if (this.#links.has(member.id)) {
      return;
    }
    member.services.forEach((service) => this.#offered.add(service));
    const link = new AgentLink({
      ...this.#options,
      member,
      wantsCredits: this.#isInSubset(member),
      onCreditsChange: (changed, change) =>
        this.#handleCredits(changed, change),
    });
    this.#links.set(member.id, link);
    this.serviceIndex.invalidate();
    void link.run();
  }

  #remove(id: string): void {
    const link = this.#links.get(id);
    if (link !== undefined) {
      link.close();
      this.linksWithCredits.delete(link);
      this.#links.delete(id);
      this.serviceIndex.invalidate();
      this.#options.onRemove(id);
    }
  }
}
