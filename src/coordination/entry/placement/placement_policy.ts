/** How an entry chooses the agent for a task. */
export type PlacementPolicy =
  /**
   * Sends only against a credit, to the agent with the shortest learned run
   * time.
   */
  | {
    readonly type: "credits";
    /** Number of agents with credits that are compared for one task. */
    readonly maxCandidates: number;
    /**
     * Run times up to this multiple of the shortest one count as equal; agents
     * with equal run times are used in turn.
     */
    readonly equalFactor: number;
    /** An agent is slow if its run time is this multiple of another's. */
    readonly slowFactor: number;
  }
  /** Pushes to the agent with the lowest known load; a full agent refuses. */
  | { readonly type: "least_loaded"; readonly maxCandidates: number }
  /** Pushes to a random agent: the baseline for comparing the others. */
  | { readonly type: "random" };
