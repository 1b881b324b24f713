import {
  createError,
  type DispatchError,
  ERROR_RESPONSES,
} from "../../state/errors/mod.ts";
import type { Timeline } from "../../state/timeline/mod.ts";
import type { DispatchResult } from "../messages/mod.ts";
import type { PlannedTask } from "./planned_task.ts";
import { readTaskAnswer } from "./read_task_answer.ts";
import type { RetryBudgets } from "./retry_budgets.ts";
import type { SentAttempt } from "./sent_attempt.ts";
import type { TaskAnswer } from "./task_answer.ts";
import type { TaskFailure } from "./task_failure.ts";
import { waitDelay } from "./wait_delay.ts";

/**
 * Wait before a refused task is placed again, in milliseconds; it doubles with
 * each refusal.
 */
const FIRST_DELAY_MS = 5;

/** Longest wait between two placements, in milliseconds. */
const MAX_DELAY_MS = 500;

export interface TaskRunOptions {
  task: PlannedTask;
  /** Aborts with a `DispatchError` as its reason. */
  signal: AbortSignal;
  /**
   * Waits for an agent and sends the attempt; gets undefined after an abort.
   */
  place: (options: {
    number: number;
    avoidId: string | undefined;
    signal: AbortSignal;
  }) => Promise<SentAttempt | undefined>;
  /** Called with the end of each attempt. */
  onResult: (
    attempt: SentAttempt,
    result: DispatchResult | DispatchError,
  ) => void;
  /** Gets the run time beyond which the task is a straggler. */
  getStragglerThresholdMs: () => number | undefined;
  budgets: RetryBudgets;
  timeline: Timeline;
}

/** Runs one task until it has an answer or has failed for good. */
export class TaskRun {
  readonly #options: TaskRunOptions;
  /**
   * Number of the next attempt. One that certainly didn't run is placed again
   * under its number.
   */
  #number = 1;
  #avoidId: string | undefined;
  /** The last failure of an attempt that may have run. */
  #mayHaveRun: TaskFailure | undefined;

  constructor(options: TaskRunOptions) {
    this.#options = options;
  }

  async run(): Promise<TaskAnswer | TaskFailure> {
    const { signal } = this.#options;
    for (let delay = FIRST_DELAY_MS;; delay *= 2) {
      const attempt = await this.#place(signal);
      if (attempt === undefined) {
        return this.#createStopped();
      }
      const answer = await this.#waitForAnswer(attempt);
      if (!("error" in answer)) {
        return answer;
      }
      if (signal.aborted) {
        return this.#mayHaveRun ?? answer;
      }
      if (!this.#canRetry(answer)) {
        return answer;
      }
      // The random part keeps the tasks of a job from coming back all at once.
      const wait = Math.min(delay, MAX_DELAY_MS) * (0.5 + Math.random());
      await waitDelay(wait, signal);
    }
  }

  async #place(signal: AbortSignal): Promise<SentAttempt | undefined> {
    const number = this.#number++;
    return await this.#options.place({
      number,
      avoidId: this.#avoidId,
      signal,
    });
  }

  /**
   * Waits for the answer of an attempt. A repeatable task gets a second attempt
   * elsewhere while the first one runs, when it proves a straggler or the
   * stream to its agent is broken, as far as the retry budget allows.
   */
  async #waitForAnswer(first: SentAttempt): Promise<TaskAnswer | TaskFailure> {
    const { task, signal, budgets } = this.#options;
    if (!task.repeatable || this.#number > task.maxAttempts) {
      return await this.#waitForResult(first, signal);
    }
    const winner = new AbortController();
    const any = AbortSignal.any([signal, winner.signal]);
    const answer = this.#waitForResult(first, any);
    const needsHedge = await Promise.race([
      answer.then(() => false),
      first.streamBroken.then(() => true),
      this.#waitForStraggler(any, answer),
    ]);
    if (!needsHedge || signal.aborted || !budgets.tryConsume(task.customer)) {
      return await answer;
    }
    this.#avoidId = first.agentId;
    const { key, index } = task;
    this.#options.timeline.record("task_hedged", { key, index });
    const hedge = this.#place(any).then((second) =>
      second === undefined ? undefined : this.#waitForResult(second, any)
    );
    const best = await selectAnswer(answer, hedge);
    winner.abort(createError("cancelled", "another attempt answered first"));
    return best;
  }

  async #waitForStraggler(
    signal: AbortSignal,
    answer: Promise<unknown>,
  ): Promise<boolean> {
    const { task, getStragglerThresholdMs: getStragglerMs } = this.#options;
    const limit = task.hedging ? getStragglerMs() : undefined;
    if (limit === undefined) {
      return await answer.then(() => false);
    }
    const stop = new AbortController();
    void answer.then(() => stop.abort());
    await waitDelay(limit, AbortSignal.any([signal, stop.signal]));
    return !stop.signal.aborted && !signal.aborted;
  }

  async #waitForResult(
    attempt: SentAttempt,
    signal: AbortSignal,
  ): Promise<TaskAnswer | TaskFailure> {
    const { task, timeline, onResult } = this.#options;
    const result = await attempt.wait(signal);
    onResult(attempt, result);
    const answer = readTaskAnswer(task.index, result);
    const { key, index } = task;
    const event = { key, index, attempt: attempt.number };
    if (!("error" in answer)) {
      timeline.record("task_answered", event);
      return answer;
    }
    timeline.record("attempt_failed", { ...event, detail: answer.error.kind });
    this.#avoidId = attempt.agentId;
    if (answer.outcome !== "not run") {
      this.#mayHaveRun = answer;
    } else if (this.#number === attempt.number + 1) {
      this.#number = attempt.number;
    }
    return answer;
  }

  /**
   * A task that didn't start may always be placed again; one that may have run
   * only if it is repeatable.
   */
  #canRetry(failure: TaskFailure): boolean {
    const { task, budgets } = this.#options;
    if (failure.outcome === "not run") {
      return true;
    }
    return task.repeatable && this.#number <= task.maxAttempts &&
      budgets.tryConsume(task.customer);
  }

  /**
   * Creates the failure of a task that was stopped while it waited; earlier
   * attempts may have run.
   */
  #createStopped(): TaskFailure {
    if (this.#mayHaveRun !== undefined) {
      return this.#mayHaveRun;
    }
    const { task, signal } = this.#options;
    const error = signal.reason as DispatchError;
    const { outcome } = ERROR_RESPONSES[error.kind];
    return { index: task.index, error, outcome };
  }
}

/**
 * Selects the first answer of two attempts, or a failure that may have run when
 * both failed.
 */
async function selectAnswer(
  first: Promise<TaskAnswer | TaskFailure>,
  second: Promise<TaskAnswer | TaskFailure | undefined>,
): Promise<TaskAnswer | TaskFailure> {
  const isGood = (answer: TaskAnswer | TaskFailure | undefined) =>
    answer !== undefined && !("error" in answer);
  const early = await Promise.race([first, second]);
  if (early !== undefined && isGood(early)) {
    return early;
  }
  const [one, other] = await Promise.all([first, second]);
  if (other === undefined || isGood(one)) {
    return one;
  }
  const isOneNotRun = "error" in one && one.outcome === "not run";
  return isGood(other) || isOneNotRun ? other : one;
}
