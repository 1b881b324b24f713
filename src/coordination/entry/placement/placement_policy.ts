/** How an entry chooses the agent for a task. */
export type PlacementPolicy =
  /**
   * Sends only against a credit, to the agent with the shortest learned run
   * time.
   */
  | {
    readonly type: "credits";
    /** Agents with credits that are compared for one task. */
    readonly maxCandidates: number;
    /**
     * Run times up to this factor above the shortest count as equal; among
     * those the agents take turns.
     */
    readonly equalFactor: number;
    /** An agent that takes longer than others by this factor is slow. */
    readonly slowFactor: number;
  }
  /** Pushes to the agent with the lowest known load; a full agent refuses. */
  | { readonly type: "least_loaded"; readonly maxCandidates: number }
  /**
   * Pushes to any agent: the naive version that the others are compared with.
   */
  | { readonly type: "random" };
