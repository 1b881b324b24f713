/**
 * Estimates the clock of a worker from the times that it states. The estimate is
 * never ahead of that clock: a stated time is at least as old as its arrival.
 */
export class WorkerClock {
  #workerMs: number | undefined;
  #localMs = 0;

  /** Records a time that the worker stated. */
  record(workerMs: number, localMs: number): void {
    this.#workerMs = workerMs;
    this.#localMs = localMs;
  }

  /** Forgets the clock, when the worker has restarted. */
  reset(): void {
    this.#workerMs = undefined;
  }

  /** Gets the worker's time, in milliseconds; undefined while it is unknown. */
  get(localMs: number): number | undefined {
    return this.#workerMs === undefined
      ? undefined
      : this.#workerMs + (localMs - this.#localMs);
  }
}
