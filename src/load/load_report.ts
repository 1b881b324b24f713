import type { Percentiles } from "./percentiles.ts";

/** The figures of one run. */
export interface LoadReport {
  readonly scenario: string;
  readonly shape: string;
  readonly seed: number;
  readonly placement: string;
  /** Offered work as a share of the capacity. */
  readonly load: number;
  readonly startedAt: string;
  /** Load average of the machine over one minute, before and after the run. */
  readonly loadAverage: readonly [number, number];
  readonly jobs: number;
  readonly tasks: number;
  /** Time by which requests were sent later than planned, in milliseconds. */
  readonly lateMs: Percentiles;
  readonly response: {
    readonly ms: Percentiles;
    /** Response time divided by the job's lower bound; complete jobs only. */
    readonly overIdeal: Percentiles;
    /**
     * Response time divided by that of the reference schedule, which is not a
     * bound.
     */
    readonly overReference: Percentiles;
    /** What the reference schedule itself reaches against the lower bound. */
    readonly referenceOverIdeal: Percentiles;
  };
  /**
   * Where the time of complete jobs went, by the task of each that ended last,
   * in milliseconds.
   */
  readonly delays?: {
    /** From the intended send to the start of the task at its worker. */
    readonly waitMs: Percentiles;
    /** Run time beyond that on the fastest worker. */
    readonly slowMs: Percentiles;
    /** From the end of the task to the answer at the client. */
    readonly returnMs: Percentiles;
  };
  /** Jobs by kind of answer. */
  readonly answers: { readonly [kind: string]: number };
  readonly taskFailures: { readonly [kind: string]: number };
  /**
   * Time to answers that say "not run", from the intended send, in
   * milliseconds.
   */
  readonly refusalMs: Percentiles;
  /**
   * Work of complete jobs answered in the window, as a share of the capacity.
   */
  readonly goodput: number;
  readonly fairness: {
    readonly [customer: string]: {
      readonly offered: number;
      readonly completed: number;
      /**
       * Completed work over what the weights entitle the customer to; window of
       * the goodput.
       */
      readonly ofEntitled: number;
    };
  };
  readonly messages: {
    /**
     * Wasted messages for each completed task; undefined while the processes
     * don't count them.
     */
    readonly wastedPerTask: number | undefined;
    readonly perTask: number | undefined;
    /**
     * Task starts beyond one for each task, for each completed task; undefined
     * without the workers' records.
     */
    readonly extraStartsPerTask: number | undefined;
    readonly counters: { readonly [name: string]: number };
  };
  readonly work?: {
    readonly doneBySecond: readonly number[];
    readonly allowedBySecond: readonly number[];
    /**
     * Done over allowed, from the first event on a zone until some seconds
     * after the last one.
     */
    readonly zoneChangeShare: number | undefined;
  };
  readonly failingWorker?: {
    /**
     * Over the jobs that arrived more than a second after the worker began to
     * fail.
     */
    readonly lostTaskShare: number;
    readonly lostJobShare: number;
    /**
     * Share of all task starts that went to the worker after its first second.
     */
    readonly startShare: number | undefined;
  };
}
