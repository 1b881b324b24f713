import type { ClusterView } from "../../state/view/mod.ts";
import type { AgentLink } from "./agent_link.ts";

interface Service {
  readonly links: readonly AgentLink[];
  readonly positions: ReadonlyMap<AgentLink, number>;
}

const NONE: Service = { links: [], positions: new Map() };

export interface ServiceIndexOptions {
  view: ClusterView;
  getLinks: () => Iterable<AgentLink>;
  /**
   * Called for each linked agent that is out of service when the index is
   * built.
   */
  onOutOfService: (agentId: string) => void;
}

/**
 * The linked agents in service, by the services that they offer. It is built
 * again only when the members, the settings or the links change, so an agent
 * that goes out of service gets no task from then on.
 */
export class ServiceIndex {
  readonly #options: ServiceIndexOptions;
  #services = new Map<string, Service>();
  #epoch = -1;
  #revision = -1;

  constructor(options: ServiceIndexOptions) {
    this.#options = options;
  }

  /** Gets the linked agents in service that offer a service. */
  getLinks(service: string): readonly AgentLink[] {
    return this.#get(service).links;
  }

  /**
   * Gets the place of a link among those of a service, or undefined when it
   * isn't one of them.
   */
  getPosition(service: string, link: AgentLink): number | undefined {
    return this.#get(service).positions.get(link);
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

  /** Makes the index build again, after the links have changed. */
  invalidate(): void {
    this.#epoch = -1;
  }

  #get(service: string): Service {
    const { view } = this.#options;
    if (this.#epoch !== view.epoch || this.#revision !== view.revision) {
      this.#epoch = view.epoch;
      this.#revision = view.revision;
      this.#services = this.#create();
    }
    return this.#services.get(service) ?? NONE;
  }

  #create(): Map<string, Service> {
    const { view, getLinks, onOutOfService: onOut } = this.#options;
    const lists = new Map<string, AgentLink[]>();
    for (const link of getLinks()) {
      const member = view.getMember(link.member.id);
      if (member === undefined || !view.isInService(member)) {
        onOut(link.member.id);
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
