/**
 * Records when each process and the store, identified by name, was disturbed by
 * faults. Guarantees with a time bound hold only for processes that have been
 * undisturbed for some time.
 */
export class DisturbanceHistory {
  readonly #activeCounts = new Map<string, number>();
  readonly #endedAt = new Map<string, number>();

  /** Records that a disturbance of a process, or of the store, begins. */
  recordBegin(name: string): void {
    this.#activeCounts.set(name, (this.#activeCounts.get(name) ?? 0) + 1);
  }

  /** Records that a disturbance has ended. */
  recordEnd(name: string): void {
    this.#activeCounts.set(name, (this.#activeCounts.get(name) ?? 1) - 1);
    this.#endedAt.set(name, performance.now());
  }

  /**
   * Returns whether a process, or the store, has been undisturbed since a time
   * on the monotonic clock.
   */
  isUndisturbedSince(name: string, since: number): boolean {
    return (this.#activeCounts.get(name) ?? 0) === 0 &&
      (this.#endedAt.get(name) ?? -Infinity) < since;
  }
}
