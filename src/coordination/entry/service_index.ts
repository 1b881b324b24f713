import type { ClusterView } from "../../state/view/mod.ts";
import type { AgentLink } from "./agent_link.ts";

interface ServiceLinks {
  readonly links: readonly AgentLink[];
  readonly positions: ReadonlyMap<AgentLink, number>;
}

const NO_LINKS: ServiceLinks = { links: [], positions: new Map() };

export interface ServiceIndexOptions {
  view: ClusterView;
  /** Gets the links to index. */
  getLinks: () => Iterable<AgentLink>;
  /**
   * Called for each linked agent that is out of service when the index is
   * rebuilt.
   */
  onOutOfService: (agentId: string) => void;
}

/**
 * The linked agents in service, by the services that they offer. The index is
 * rebuilt when the members, the settings or the links have changed, so that an
 * agent that is taken out of service receives no further tasks.
 */
export class ServiceIndex {
  readonly #options: ServiceIndexOptions;
  #services = new Map<string, ServiceLinks>();
  #epoch = -1;
  #revision = -1;

  constructor(options: ServiceIndexOptions) {
    this.#options = options;
  }

  /** Gets the linked agents in service that offer a service. */
  getLinks(service: string): readonly AgentLink[] {
    return this.#getService(service).links;
  }

  /**
   * Gets the position of a link among those of a service. Returns undefined
   * when it isn't one of them.
   */
  getPosition(service: string, link: AgentLink): number | undefined {
    return this.#getService(service).positions.get(link);
  }

  /**
   * Gets, for each service of an agent, the ids of the agents in service that
   * offer it.
   */
  getAgentIdsPerService(agentId: string): string[][] {
    const services = this.#options.view.getMember(agentId)?.services ?? [];
    return services.map((service) =>
      this.getLinks(service).map(({ member }) => member.id)
    );
  }

  /**
   * Discards the index after the links have changed; the next use rebuilds it.
   */
  invalidate(): void {
    this.#epoch = -1;
  }

  #getService(service: string): ServiceLinks {
    const { view } = this.#options;
    if (this.#epoch !== view.epoch || this.#revision !== view.revision) {
      this.#epoch = view.epoch;
      this.#revision = view.revision;
      this.#services = this.#createServices();
    }
    return this.#services.get(service) ?? NO_LINKS;
  }

  #createServices(): Map<string, ServiceLinks> {
    const { view, getLinks, onOutOfService } = this.#options;
    const lists = new Map<string, AgentLink[]>();
    for (const link of getLinks()) {
      const member = view.getMember(link.member.id);
      if (member === undefined || !view.isInService(member)) {
        onOutOfService(link.member.id);
        continue;
      }
      for (const service of member.services) {
        const list = lists.get(service) ?? [];
        list.push(link);
        lists.set(service, list);
      }
    }
    return new Map([...lists].map(([service, links]) => [service, {
      links,
      positions: new Map(links.map((link, position) => [link, position])),
    }]));
  }
}
