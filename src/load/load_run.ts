import { setMaxListeners } from "node:events";
import type { JobResult } from "./job_result.ts";
import { LoadClient } from "./load_client.ts";
import type { LoadEvent } from "./load_event.ts";
import { parseAnswer } from "./parse_answer.ts";
import type { PlannedJob } from "./planned_job.ts";
import { Random } from "./random.ts";

/** Time to wait for answers after the last deadline, in milliseconds. */
const ANSWER_GRACE_MS = 5_000;

export interface LoadRunOptions {
  jobs: readonly PlannedJob[];
  events: readonly LoadEvent[];
  durationMs: number;
  /** `host:port` of each entry. */
  entryAddresses: readonly string[];
  clientLatencyMs: number;
  /** Deadline that each job states, in milliseconds. */
  deadlineMs: number;
  seed: number;
  /** Applies an event other than a cancellation to the cluster. */
  applyEvent: (event: LoadEvent) => Promise<void>;
}

/**
 * Runs an open-loop load: sends the jobs at their planned times, however fast
 * the cluster answers. Response times count from the planned times, so the
 * delays of a late load tool or a slow cluster are included.
 */
export class LoadRun {
  readonly #options: LoadRunOptions;
  readonly #client: LoadClient;
  readonly #abortController = new AbortController();
  readonly #random: Random;
  readonly #pendingJobs = new Set<PlannedJob>();
  #startedAt = 0;

  constructor(options: LoadRunOptions) {
    this.#options = options;
    this.#random = new Random(options.seed + 1_000_000);
    const { entryAddresses, deadlineMs } = options;
    const { signal } = this.#abortController;
    setMaxListeners(0, signal);
    this.#client = new LoadClient({ entryAddresses, deadlineMs, signal });
  }

  /** Gets the wall-clock time at which the run started, in milliseconds. */
  get startedAt(): number {
    return performance.timeOrigin + this.#startedAt;
  }

  /**
   * Runs all jobs and events, and waits for the answers up to a time limit, at
   * which unanswered requests are aborted.
   */
  async run(): Promise<JobResult[]> {
    const { jobs, events, durationMs, deadlineMs } = this.#options;
    this.#startedAt = performance.now();
    const timeLimitMs = durationMs + deadlineMs + ANSWER_GRACE_MS;
    const timer = setTimeout(() => this.#abortController.abort(), timeLimitMs);
    const applied = events.map((event) => this.#runEvent(event));
    const results = await Promise.all(jobs.map((job) => this.#runJob(job)));
    await Promise.all(applied);
    clearTimeout(timer);
    this.#client.close();
    return results;
  }

  async #runJob(job: PlannedJob): Promise<JobResult> {
    const { clientLatencyMs } = this.#options;
    const plannedMs = job.arrivalMs + clientLatencyMs;
    await this.#waitUntil(plannedMs);
    const lateMs = this.#getElapsedMs() - plannedMs;
    this.#pendingJobs.add(job);
    try {
      const { body } = await this.#client.sendJob(job);
      const answeredMs = this.#getElapsedMs() + clientLatencyMs;
      return { job, lateMs, answeredMs, ...parseAnswer(job, body) };
    } catch {
      const kind = "no_answer";
      return { job, lateMs, answeredMs: undefined, kind, taskKinds: [] };
    } finally {
      this.#pendingJobs.delete(job);
    }
  }

  async #runEvent(event: LoadEvent): Promise<void> {
    await this.#waitUntil(event.atMs);
    if (event.type === "cancel") {
      await this.#cancelJobs(event.share);
    } else {
      await this.#options.applyEvent(event);
    }
  }

  async #cancelJobs(share: number): Promise<void> {
    const selectedJobs = [...this.#pendingJobs].filter(() =>
      this.#random.getFloat() < share
    );
    await Promise.allSettled(
      selectedJobs.map((job) => this.#client.sendCancel(job)),
    );
  }

  #getElapsedMs(): number {
    return performance.now() - this.#startedAt;
  }

  async #waitUntil(timeMs: number): Promise<void> {
    // A timer may fire up to a millisecond early.
    for (;;) {
      const waitMs = timeMs - this.#getElapsedMs();
      if (waitMs <= 0) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
  }
}
