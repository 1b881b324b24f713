/**
 * Consecutive failures after which an agent is ejected. A single failing task
 * must not eject it, while a back end that is down fails all of its tasks.
 */
const MAX_FAILURES = 5;

/**
 * Duration of the first ejection, in milliseconds; each failed probe doubles
 * it.
 */
const FIRST_EJECTION_MS = 1_000;

/**
 * Longest duration of an ejection, in milliseconds: a failing agent then costs
 * two probes per minute.
 */
const MAX_EJECTION_MS = 30_000;

interface HealthState {
  failures: number;
  ejections: number;
  /** Undefined while the agent is not ejected. */
  ejectedUntil: number | undefined;
  isProbing: boolean;
}

export interface AgentHealthOptions {
  /** Gets, for each service of an agent, the agents that offer it. */
  getAgentIdsPerService: (agentId: string) => readonly (readonly string[])[];
  /** Called when an agent is ejected, may be probed, or is in use again. */
  onChange: () => void;
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Ejects agents whose tasks all fail. Such an agent answers fast and looks
 * idle, so it would attract the work of the others. After a delay with
 * exponential backoff one task probes it. At most half of the agents of a
 * service are ejected: when more fail, the tasks are the likelier cause.
 */
export class AgentHealth {
  readonly #options: AgentHealthOptions;
  readonly #getTime: () => number;
  readonly #agents = new Map<string, HealthState>();

  constructor(options: AgentHealthOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** Returns whether a task may be placed on the agent now. */
  canPlaceOn(agentId: string): boolean {
    const health = this.#agents.get(agentId);
    return health?.ejectedUntil === undefined ||
      (!health.isProbing && this.#getTime() >= health.ejectedUntil);
  }

  /**
   * Returns whether a task may probe the agent; true for agents that aren't
   * ejected. A failed probe fails the whole job when its task isn't repeatable,
   * so such a task probes only an agent that no other task has probed for a
   * long time.
   */
  canProbe(agentId: string, isRepeatable: boolean): boolean {
    const ejectedUntil = this.#agents.get(agentId)?.ejectedUntil;
    return ejectedUntil === undefined || isRepeatable ||
      this.#getTime() >= ejectedUntil + MAX_EJECTION_MS;
  }

  /** Returns whether the agent is ejected, which includes being probed. */
  isEjected(agentId: string): boolean {
    return this.#agents.get(agentId)?.ejectedUntil !== undefined;
  }

  /**
   * Records that a task was placed on the agent; the first one after an
   * ejection is the probe.
   */
  recordPlacement(agentId: string): void {
    const health = this.#agents.get(agentId);
    if (health?.ejectedUntil !== undefined) {
      health.isProbing = true;
      this.#options.onChange();
    }
  }

  /** Records a task that the agent's upstream answered. */
  recordSuccess(agentId: string): void {
    if (this.#agents.delete(agentId)) {
      this.#options.onChange();
    }
  }

  /**
   * Records a task whose end says nothing about the upstream, such as a refused
   * one.
   */
  recordNeutral(agentId: string): void {
    const health = this.#agents.get(agentId);
    if (health?.isProbing) {
      health.isProbing = false;
      this.#options.onChange();
    }
  }

  /** Records a task that failed at the agent's upstream. */
  recordFailure(agentId: string): void {
    const health = this.#agents.get(agentId) ??
      { failures: 0, ejections: 0, ejectedUntil: undefined, isProbing: false };
    this.#agents.set(agentId, health);
    health.failures++;
    const isFailedProbe = health.isProbing;
    const isFailing = health.ejectedUntil === undefined &&
      health.failures >= MAX_FAILURES;
    if (isFailedProbe || (isFailing && this.#canEject(agentId))) {
      this.#eject(health);
    }
  }

  /** Deletes the state of an agent that was removed. */
  removeAgent(agentId: string): void {
    this.#agents.delete(agentId);
  }

  #eject(health: HealthState): void {
    const delayMs = Math.min(
      MAX_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** health.ejections,
    );
    health.ejections++;
    health.isProbing = false;
    health.ejectedUntil = this.#getTime() + delayMs;
    // Timers may fire 1 ms early.
    setTimeout(this.#options.onChange, delayMs + 2).unref();
    this.#options.onChange();
  }

  #canEject(agentId: string): boolean {
    return this.#options.getAgentIdsPerService(agentId).every((agentIds) => {
      const ejectedCount = agentIds.filter((id) => this.isEjected(id)).length;
      return 2 * (ejectedCount + 1) <= agentIds.length;
    });
  }
}
