/** Kinds of the workers, which are their labels. */
export const WORKER_KINDS = ["a", "b"] as const;
