/**
 * When processes (by name) and the store were last disturbed. Promises with a time bound
 * hold only for what has been undisturbed for a while.
 */
export class DisturbanceHistory {
  readonly #open = new Map<string, number>();
  readonly #endedAt = new Map<string, number>();

  /** Records that a disturbance begins. */
  recordBegin(thing: string): void {
    this.#open.set(thing, (this.#open.get(thing) ?? 0) + 1);
  }

  /** Records that a disturbance has ended. */
  recordEnd(thing: string): void {
    this.#open.set(thing, (this.#open.get(thing) ?? 1) - 1);
    this.#endedAt.set(thing, performance.now());
  }

  /** Has the thing been undisturbed since a time on the monotonic clock? */
  isUndisturbedSince(thing: string, since: number): boolean {
    return (this.#open.get(thing) ?? 0) === 0 &&
      (this.#endedAt.get(thing) ?? -Infinity) < since;
  }
}
