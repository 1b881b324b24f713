/** Size and speed of a cluster that a load scenario runs against. */
export interface ClusterShape {
  readonly name: string;
  /** Availability zone of each entry. */
  readonly entryZones: readonly string[];
  /** Availability zone of each agent. */
  readonly agentZones: readonly string[];
  /** Speed of the worker of each agent; run times are divided by it. */
  readonly speeds: readonly number[];
  /** Maximum number of tasks that one agent runs at the same time. */
  readonly slots: number;
  /** Maximum number of connections of one agent to its upstream. */
  readonly maxConnections: number;
  /**
   * One-way network latency between a client and an entry, in milliseconds. The
   * load tool simulates it.
   */
  readonly clientLatencyMs: number;
}
