/**
 * Estimates the clock of a worker from the times in its replies. The estimate
 * is never ahead of that clock, because a time is read at the worker before its
 * reply arrives.
 */
export class WorkerClock {
  #workerMs: number | undefined;
  #localMs = 0;

  /** Records a time from a reply of the worker, and when it arrived. */
  record(workerMs: number, localMs: number): void {
    this.#workerMs = workerMs;
    this.#localMs = localMs;
  }

  /** Clears the estimate after a restart of the worker. */
  reset(): void {
    this.#workerMs = undefined;
  }

  /** Gets the worker's time, in milliseconds; undefined while it is unknown. */
  getWorkerTime(localMs: number): number | undefined {
    return this.#workerMs === undefined
      ? undefined
      : this.#workerMs + (localMs - this.#localMs);
  }
}
