/** Figures that the parts of the soak share; times in milliseconds. */
export const SOAK_LIMITS = {
  /** Cores of a worker, in thousandths: eight tasks of the soak at a time. */
  workerCpuMillis: 16_000,
  /** Runs of a task that may fail before its job fails. */
  maxAttempts: 2,
  /** A process counts as undisturbed after this time; the platform's bound. */
  undisturbedAfterMs: 3_000,
} as const;
