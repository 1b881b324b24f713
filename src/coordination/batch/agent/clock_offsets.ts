interface EntryClock {
  readonly incarnation: string;
  readonly offsetMs: number;
}

/**
 * Offsets from the monotonic clocks of entries to that of this process: the least
 * difference between the arrival and the sending of a frame, also of earlier
 * streams of the same process.
 */
export class ClockOffsets {
  readonly #clocks = new Map<string, EntryClock>();

  /** Records the difference of one frame, in milliseconds. */
  record(entry: string, incarnation: string, offsetMs: number): void {
    if (offsetMs < this.get(entry, incarnation)) {
      this.#clocks.set(entry, { incarnation, offsetMs });
    }
  }

  /** Gets the offset in milliseconds; `Infinity` before the first frame. */
  get(entry: string, incarnation: string): number {
    const clock = this.#clocks.get(entry);
    return clock?.incarnation === incarnation ? clock.offsetMs : Infinity;
  }
}
