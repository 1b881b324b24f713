/**
 * Learns how long a task takes from its order until its end is handled, beyond its run
 * time: the ways of the messages, the delay of this entry, and the wait for room. The
 * load it answers: while an entry has more messages than processor time, a declined
 * task reaches its next worker later than it would have started at the first one.
 */

/** Priorities that are distinguished; less urgent ones count as the last. */
const PRIORITY_COUNT = 4;

/** Weight of the latest run. */
const SAMPLE_WEIGHT = 0.04;

/** Longer times count as this long, in milliseconds: they are those of single agents. */
const MAX_SAMPLE_MS = 500;

/** Follows the time that orders take beyond the run times, by priority. */
export class DetourForecast {
  readonly #meanMs = new Array<number>(PRIORITY_COUNT).fill(0);

  /**
   * Records a run that has completed its task.
   * @param sentAgoMs - Time since its order was sent, in milliseconds.
   * @param runMs - Time from its start to its end, in milliseconds.
   */
  record(priority: number, sentAgoMs: number, runMs: number): void {
    const index = getIndex(priority);
    const meanMs = this.#meanMs[index] as number;
    const sampleMs = Math.min(MAX_SAMPLE_MS, Math.max(0, sentAgoMs - runMs));
    this.#meanMs[index] = meanMs + SAMPLE_WEIGHT * (sampleMs - meanMs);
  }

  /**
   * Estimates the time from the decline of a task until its start at another worker,
   * in milliseconds. It equals the time that a run takes beyond its run time: either
   * one consists of a message from an agent, one to an agent, and a wait for room.
   */
  estimateMs(priority: number): number {
    return this.#meanMs[getIndex(priority)] as number;
  }
}

function getIndex(priority: number): number {
  return Math.min(PRIORITY_COUNT - 1, priority);
}
