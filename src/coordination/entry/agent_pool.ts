import type { MemberState, ViewEvent } from "../../state/view/mod.ts";
import type { LogFollower } from "../follower/mod.ts";
import { AgentLink, type AgentLinkOptions } from "./agent_link.ts";
import { ServiceIndex } from "./service_index.ts";

export interface AgentPoolOptions extends Omit<AgentLinkOptions, "member"> {
  follower: LogFollower;
}

/** The links of an entry to the agents that the view holds. */
export class AgentPool {
  readonly #options: AgentPoolOptions;
  readonly #links = new Map<string, AgentLink>();
  /** The linked agents by service. */
  readonly index: ServiceIndex;

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

  /** Can a task of the service be sent now? */
  canPlace(service: string, avoidedId: string | undefined): boolean {
    return this.select(service, avoidedId) !== undefined;
  }

  /**
   * Selects the agent for a task among those that hold out a credit.
   * @param service - Service of the task.
   * @param avoidedId - The submission's home: its claim and its start records should not be lost together.
   */
  select(
    service: string,
    avoidedId: string | undefined,
  ): AgentLink | undefined {
    const offering = this.index.getLinks(service);
    let best: AgentLink | undefined;
    for (const link of offering) {
      const isAvoided = link.member.id === avoidedId && offering.length > 1;
      if (!isAvoided && link.isUp && link.credits > (best?.credits ?? 0)) {
        best = link;
      }
    }
    return best;
  }

  #handleViewEvent(event: ViewEvent): void {
    switch (event.type) {
      case "joined":
        this.#add(event.member);
        return;
      case "left":
      case "removed":
        this.#remove(event.member.id);
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
    const link = new AgentLink({ ...this.#options, member });
    this.#links.set(member.id, link);
    this.index.removeAll();
    void link.run();
  }

  #remove(id: string): void {
    this.#links.get(id)?.close();
    this.#links.delete(id);
    this.index.removeAll();
  }
}
