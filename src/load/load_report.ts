import type { Percentiles } from "./percentiles.ts";

/** The results of one load run. */
export interface LoadReport {
  readonly scenario: string;
  readonly shape: string;
  readonly seed: number;
  readonly placement: string;
  /** Offered work as a share of the capacity. */
  readonly load: number;
  readonly startedAt: string;
  /** One-minute load average of the machine, before and after the run. */
  readonly loadAverage: readonly [number, number];
  readonly jobs: number;
  readonly tasks: number;
  /** Delay of the actual send times after the planned ones, in milliseconds. */
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
    /** Response time of the reference schedule divided by the lower bound. */
    readonly referenceOverIdeal: Percentiles;
  };
  /**
   * Breakdown of the response times of complete jobs, by the task of each job
   * that ended last, in milliseconds.
   */
  readonly delays?: {
    /** From the planned send time to the start of the task at its worker. */
    readonly waitMs: Percentiles;
    /** Run time in excess of that on the fastest worker. */
    readonly slowMs: Percentiles;
    /** From the end of the task to the answer at the client. */
    readonly returnMs: Percentiles;
  };
  /** Number of jobs by kind of answer. */
  readonly answers: { readonly [kind: string]: number };
  /** Number of failed tasks by error kind. */
  readonly taskFailures: { readonly [kind: string]: number };
  /**
   * Time from the planned send time to answers with the outcome "not run", in
   * milliseconds.
   */
  readonly refusalMs: Percentiles;
  /**
   * Work of complete jobs that were answered in the measurement window, as a
   * share of the capacity. The window begins when the queues have filled and
   * ends with the time in which jobs arrive.
   */
  readonly goodput: number;
  readonly fairness: {
    readonly [customer: string]: {
      readonly offered: number;
      readonly completed: number;
      /**
       * Completed work divided by the customer's weighted fair share, in the
       * measurement window of the goodput.
       */
      readonly ofEntitled: number;
    };
  };
  readonly messages: {
    /**
     * Wasted messages per completed task; undefined if the processes don't
     * count them.
     */
    readonly wastedPerTask: number | undefined;
    /** Messages sent per completed task; undefined if not counted. */
    readonly perTask: number | undefined;
    /**
     * Task starts in excess of one for each started task, per completed task;
     * undefined without the workers' records.
     */
    readonly extraStartsPerTask: number | undefined;
    readonly counters: { readonly [name: string]: number };
  };
  readonly work?: {
    /** Work done in each second, in milliseconds of run time at speed 1. */
    readonly doneBySecond: readonly number[];
    /** Maximum possible work in each second; see `getMaxWorkBySecond`. */
    readonly allowedBySecond: readonly number[];
    /**
     * Work done divided by the maximum possible work, from the first zone event
     * until some seconds after the last one.
     */
    readonly zoneChangeShare: number | undefined;
  };
  readonly failingWorker?: {
    /**
     * Share of the tasks that failed with `upstream_failed`, among the jobs
     * that arrived at least a second after the worker began to fail.
     */
    readonly lostTaskShare: number;
    /** Share of those jobs that failed with `upstream_failed`. */
    readonly lostJobShare: number;
    /**
     * Share of the task starts that went to the failing worker, from a second
     * after it began to fail; undefined without the workers' records.
     */
    readonly startShare: number | undefined;
  };
}
