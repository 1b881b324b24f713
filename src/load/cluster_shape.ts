/** The shape of a cluster that load is made for. */
export interface ClusterShape {
  readonly name: string;
  /** Availability zone of each entry. */
  readonly entryZones: readonly string[];
  /** Availability zone of each agent. */
  readonly agentZones: readonly string[];
  /** Speed of the worker beside each agent; run times are divided by it. */
  readonly speeds: readonly number[];
  /** Tasks that one agent runs at one time. */
  readonly slots: number;
  /** Connections of one agent to its upstream. */
  readonly maxConnections: number;
  /**
   * Network time between a client and an entry, one way, in milliseconds. The
   * tool adds it.
   */
  readonly clientLatencyMs: number;
}
