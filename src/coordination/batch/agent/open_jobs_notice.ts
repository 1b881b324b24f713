import type { OpenJobsChange } from "../../messages/mod.ts";

/**
 * Longest time after which an entry is told that a job has ended which it doesn't
 * wait for, in milliseconds. The ends of several jobs share one frame.
 */
const JOB_END_DELAY_MS = 500;

/**
 * Decides when an entry is told of changes of the open jobs: at once of a new one and
 * of the end of one that it has had stopped, and of other ends with a delay. Only
 * changes are told, since the frames of all agents to all entries would otherwise
 * grow with the number of jobs.
 */
export class OpenJobsNotice {
  /** The jobs that are open as far as the entry was told; undefined before the first time. */
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
   * Gets what the entry is to be told of the open jobs now, and records that it
   * is; undefined if that is nothing.
   */
  update(jobIds: readonly string[], now: number): OpenJobsChange | undefined {
    if (!this.#isDue(jobIds, now)) {
      return undefined;
    }
    const former = this.#sent;
    const sent = new Set(jobIds);
    this.#sent = sent;
    this.#sentAt = now;
    this.#stoppedJobs.forEach((jobId) => {
      if (!sent.has(jobId)) {
        this.#stoppedJobs.delete(jobId);
      }
    });
    return {
      isComplete: former === undefined,
      openJobIds: [...sent].filter((jobId) => former?.has(jobId) !== true),
      endedJobIds: [...former ?? []].filter((jobId) => !sent.has(jobId)),
    };
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
