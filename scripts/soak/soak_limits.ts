/** Limits shared by the parts of the soak test. */
export const SOAK_LIMITS = {
  /** CPU of a worker, in thousandths of a core: enough for eight tasks. */
  workerCpuMillis: 16_000,
  /** Number of failed runs of a task after which its job fails. */
  maxAttempts: 2,
  /** Number of workers that have crashed under a task when it may be given up. */
  crashesToGiveUp: 2,
  /**
   * A process counts as undisturbed this long after its last disturbance; the
   * bound that the platform states.
   */
  undisturbedAfterMs: 3_000,
} as const;
