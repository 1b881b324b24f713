/** Numbers of processes and jobs of a model. */
export const MODEL_SIZE = { entries: 2, agents: 4, jobs: 2 } as const;
