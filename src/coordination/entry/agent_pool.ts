import type { MemberState, ViewEvent } from "../../state/view/mod.ts";
import type { LogFollower } from "../follower/mod.ts";
import { AgentLink, type AgentLinkOptions } from "./agent_link.ts";
import { ServiceIndex } from "./service_index.ts";

export interface AgentPoolOptions
  extends Omit<AgentLinkOptions, "member" | "onCredits"> {
  follower: LogFollower;
  /** Called when an agent has a credit that it had not. */
  onCredits: () => void;
  /** Called when an agent has left or was removed. */
  onRemove: (memberId: string) => void;
}

/** The links of an entry to the agents that the view holds. */
export class AgentPool {
  readonly #options: AgentPoolOptions;
  readonly #links = new Map<string, AgentLink>();
  /** The linked agents by service. */
  readonly index: ServiceIndex;
  /** The agents with unused credits. */
  readonly ready = new Set<AgentLink>();

  constructor(options: AgentPoolOptions) {
    this.#options = options;
    this.index = new ServiceIndex({
      view: options.follower.view,
      getLinks: () => this.#links.values(),
    });
    options.follower.addListener((event) => this.#handleViewEvent(event));
  }

  /** Gets the link to an agent. */
  get(memberId: string): AgentLink | undefined {
    return this.#links.get(memberId);
  }

  /** Gets all links. */
  getAll(): AgentLink[] {
    return [...this.#links.values()];
  }

  /** Opens links to all agents of the view; later ones follow by its events. */
  start(): void {
    for (const member of this.#options.follower.view.getMembers("agent")) {
      this.#add(member);
    }
  }

  /** Closes all links. */
  close(): void {
    for (const id of [...this.#links.keys()]) {
      this.#remove(id);
    }
  }

  /** Does some agent in service offer the service? */
  hasService(service: string): boolean {
    return this.index.getLinks(service).length > 0;
  }

  /** Keeps the agents with credits, the least recently used first: that spreads tasks over equal agents. */
  #handleCredits(link: AgentLink, options: { isMore: boolean }): void {
    this.ready.delete(link);
    if (link.credits > 0) {
      this.ready.add(link);
    }
    // A dispatch uses a credit in the middle of a look at the queue, which must not start another one.
    if (options.isMore) {
      this.#options.onCredits();
    }
  }

  #handleViewEvent(event: ViewEvent): void {
    switch (event.type) {
      case "joined":
        this.#add(event.member);
        return;
      case "left":
      case "removed":
        this.#remove(event.member.id);
        this.#options.onChange();
        return;
      case "leaving":
      case "change":
        this.#options.onChange();
        return;
      default:
        return event satisfies never;
    }
  }

  #add(member: MemberState): void {
    if (member.role !== "agent" || this.#links.has(member.id)) {
      return;
    }
    const link = new AgentLink({
      ...this.#options,
      member,
      onCredits: (changed, change) => this.#handleCredits(changed, change),
    });
    this.#links.set(member.id, link);
    this.index.removeAll();
    void link.run();
  }

  #remove(id: string): void {
    const link = this.#links.get(id);
    if (link !== undefined) {
      link.close();
      this.ready.delete(link);
      this.#links.delete(id);
      this.index.removeAll();
      this.#options.onRemove(id);
    }
  }
}
