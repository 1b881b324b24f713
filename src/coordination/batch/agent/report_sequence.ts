/**
 * Reports in a row that are older than the latest one, with rising numbers,
 * after which the latest one counts as odd: its number was too high.
 */
const MAX_OLDER_REPORTS = 3;

/**
 * Least time from the first to the last of them, in milliseconds. Delayed
 * reports arrive together, those of a worker at its interval.
 */
const MIN_OLDER_SPAN_MS = 1_000;

/** Tells late reports of an incarnation of a worker from those in order. */
export class ReportSequence {
  #latest = 0;
  #older = { count: 0, sequence: 0, since: 0 };

  /**
   * Advances to a report, unless it is older than the latest one.
   * @returns Whether the report is to be used.
   */
  tryAdvance(sequence: number, now: number): boolean {
    if (sequence < this.#latest && !this.#hasReplacedLatest(sequence, now)) {
      return false;
    }
    this.start(sequence);
    return true;
  }

  /** Begins with the first report of an incarnation. */
  start(sequence: number): void {
    this.#latest = sequence;
    this.#older = { count: 0, sequence: 0, since: 0 };
  }

  #hasReplacedLatest(sequence: number, now: number): boolean {
    const { count, since } = this.#older;
    this.#older = count === 0 || sequence <= this.#older.sequence
      ? { count: 1, sequence, since: now }
      : { count: count + 1, sequence, since };
    return this.#older.count >= MAX_OLDER_REPORTS &&
      now - this.#older.since >= MIN_OLDER_SPAN_MS;
  }
}
