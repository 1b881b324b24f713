/**
 * Longest time after which an entry is told that a job has ended which it doesn't
 * wait for, in milliseconds. The ends of several jobs share one frame.
 */
const JOB_END_DELAY_MS = 500;

/**
 * Decides when an entry is told of the open jobs again: at once of a new one and of
 * the end of one that it has had stopped, and of other ends with a delay.
 */
export class OpenJobsNotice {
  /** What the entry was last told; undefined before the first time. */
  #sent: ReadonlySet<string> | undefined;
  #sentAt = 0;
  readonly #stoppedJobs = new Set<string>();

  /** Records that the entry has had a job stopped, and waits for its end. */
  recordStop(jobId: string): void {
    if (this.#sent?.has(jobId)) {
      this.#stoppedJobs.add(jobId);
    }
  }

  /**
   * Returns whether the entry is to be told of the open jobs now, and records
   * that it is.
   */
  update(jobIds: readonly string[], now: number): boolean {
    if (!this.#isDue(jobIds, now)) {
      return false;
    }
    const sent = new Set(jobIds);
    this.#sent = sent;
    this.#sentAt = now;
    this.#stoppedJobs.forEach((jobId) => {
      if (!sent.has(jobId)) {
        this.#stoppedJobs.delete(jobId);
      }
    });
    return true;
  }

  #isDue(jobIds: readonly string[], now: number): boolean {
    const sent = this.#sent;
    if (sent === undefined || jobIds.some((jobId) => !sent.has(jobId))) {
      return true;
    }
    if (jobIds.length === sent.size) {
      return false;
    }
    return now - this.#sentAt >= JOB_END_DELAY_MS ||
      [...this.#stoppedJobs].some((jobId) => !jobIds.includes(jobId));
  }
}
