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
 * Delay before a task is placed again for the first time, in milliseconds; it
 * doubles with each retry.
 */
const INITIAL_RETRY_DELAY_MS = 5;

/**
 * Upper limit of the delay before a retry, in milliseconds, before the random
 * factor is applied.
 */
const MAX_RETRY_DELAY_MS = 500;

/**
 * Attempts that broke the connection to their upstream, as a crash does, after
 * which a task is not started again. The network may have caused some of them.
 */
const MAX_BROKEN_UPSTREAMS = 3;

export interface TaskRunOptions {
  task: PlannedTask;
  /** Aborts with a `DispatchError` as its reason. */
  signal: AbortSignal;
  /**
   * Waits for an agent and sends the attempt. `avoidId` is the agent of the
   * previous attempt, which is avoided unless it is the only usable one.
   * Returns undefined after an abort.
   */
  place: (options: {
    number: number;
    avoidId: string | undefined;
    signal: AbortSignal;
  }) => Promise<SentAttempt | undefined>;
  /** Called when an attempt has ended. */
  onResult: (
    attempt: SentAttempt,
    result: DispatchResult | DispatchError,
  ) => void;
  /**
   * Gets the run time beyond which the task is a straggler, in milliseconds.
   */
  getStragglerThresholdMs: () => number | undefined;
  budgets: RetryBudgets;
  timeline: Timeline;
}

/** Runs one task until it has an answer or has failed permanently. */
export class TaskRun {
  readonly #options: TaskRunOptions;
  /**
   * Number of the next attempt. An attempt that certainly didn't run is placed
   * again under the same number.
   */
  #nextNumber = 1;
  #avoidedAgentId: string | undefined;
  /** The latest failure of an attempt that ran or may have run. */
  #possiblyRunFailure: TaskFailure | undefined;
  #brokenUpstreams = 0;

  constructor(options: TaskRunOptions) {
    this.#options = options;
  }

  async run(): Promise<TaskAnswer | TaskFailure> {
    const { signal } = this.#options;
    for (let delayMs = INITIAL_RETRY_DELAY_MS;; delayMs *= 2) {
      const attempt = await this.#place(signal);
      if (attempt === undefined) {
        return this.#createAbortFailure();
      }
      const answer = await this.#waitForAnswer(attempt);
      if (!("error" in answer)) {
        return answer;
      }
      if (signal.aborted) {
        return this.#possiblyRunFailure ?? answer;
      }
      if (!this.#canRetry(answer)) {
        return answer;
      }
      // The random factor keeps the tasks of a job from retrying all at once.
      const waitMs = Math.min(delayMs, MAX_RETRY_DELAY_MS) *
        (0.5 + Math.random());
      await waitDelay(waitMs, signal);
    }
  }

  async #place(signal: AbortSignal): Promise<SentAttempt | undefined> {
    const number = this.#nextNumber++;
    return await this.#options.place({
      number,
      avoidId: this.#avoidedAgentId,
      signal,
    });
  }

  /**
   * Waits for the answer of an attempt. If the first attempt of a repeatable
   * task turns out to be a straggler or the stream to its agent is broken, a
   * second attempt is sent to another agent, as far as the retry budget allows.
   */
  async #waitForAnswer(first: SentAttempt): Promise<TaskAnswer | TaskFailure> {
    const { task, signal, budgets } = this.#options;
    if (!task.repeatable || this.#nextNumber > task.maxAttempts) {
      return await this.#waitForResult(first, signal);
    }
    const attemptsAbort = new AbortController();
    const attemptSignal = AbortSignal.any([signal, attemptsAbort.signal]);
    const answer = this.#waitForResult(first, attemptSignal);
    const needsHedge = await Promise.race([
      answer.then(() => false),
      first.streamBroken.then(() => true),
      this.#waitForStraggler(attemptSignal, answer),
    ]);
    if (!needsHedge || signal.aborted || !budgets.tryConsume(task.customer)) {
      return await answer;
    }
    this.#avoidedAgentId = first.agentId;
    const { key, index } = task;
    this.#options.timeline.record("task_hedged", { key, index });
    const hedge = this.#place(attemptSignal).then((second) =>
      second === undefined
        ? undefined
        : this.#waitForResult(second, attemptSignal)
    );
    const selected = await selectAnswer(answer, hedge);
    attemptsAbort.abort(
      createError("cancelled", "another attempt answered first"),
    );
    return selected;
  }

  /**
   * Waits until the task is a straggler. Returns false when it has an answer
   * or was aborted before that.
   */
  async #waitForStraggler(
    signal: AbortSignal,
    answer: Promise<unknown>,
  ): Promise<boolean> {
    const { task, getStragglerThresholdMs } = this.#options;
    const thresholdMs = task.hedging ? getStragglerThresholdMs() : undefined;
    if (thresholdMs === undefined) {
      return await answer.then(() => false);
    }
    const answerAbort = new AbortController();
    void answer.then(() => answerAbort.abort());
    await waitDelay(thresholdMs, AbortSignal.any([signal, answerAbort.signal]));
    return !answerAbort.signal.aborted && !signal.aborted;
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
    this.#avoidedAgentId = attempt.agentId;
    if (answer.error.kind === "upstream_reset") {
      this.#brokenUpstreams++;
    }
    if (answer.outcome !== "not run") {
      this.#possiblyRunFailure = answer;
    } else if (this.#nextNumber === attempt.number + 1) {
      this.#nextNumber = attempt.number;
    }
    return answer;
  }

  /**
   * Returns whether the task may be placed again: always when it didn't start;
   * when it may have run, only if it is repeatable, the attempts and the retry
   * budget aren't used up, and it doesn't seem to crash its upstreams.
   */
  #canRetry(failure: TaskFailure): boolean {
    const { task, budgets } = this.#options;
    if (failure.outcome === "not run") {
      return true;
    }
    return task.repeatable && this.#nextNumber <= task.maxAttempts &&
      this.#brokenUpstreams < MAX_BROKEN_UPSTREAMS &&
      budgets.tryConsume(task.customer);
  }

  /**
   * Creates the failure of a task that was aborted while it waited for an
   * agent; an earlier attempt may have run.
   */
  #createAbortFailure(): TaskFailure {
    if (this.#possiblyRunFailure !== undefined) {
      return this.#possiblyRunFailure;
    }
    const { task, signal } = this.#options;
    const error = signal.reason as DispatchError;
    const { outcome } = ERROR_RESPONSES[error.kind];
    return { index: task.index, error, outcome };
  }
}

/**
 * Selects the first answer of two attempts. When both have failed, prefers the
 * failure of an attempt that ran or may have run.
 */
async function selectAnswer(
  first: Promise<TaskAnswer | TaskFailure>,
  second: Promise<TaskAnswer | TaskFailure | undefined>,
): Promise<TaskAnswer | TaskFailure> {
  const hasAnswer = (answer: TaskAnswer | TaskFailure | undefined) =>
    answer !== undefined && !("error" in answer);
  const earliest = await Promise.race([first, second]);
  if (earliest !== undefined && hasAnswer(earliest)) {
    return earliest;
  }
  const [firstResult, secondResult] = await Promise.all([first, second]);
  if (secondResult === undefined || hasAnswer(firstResult)) {
    return firstResult;
  }
  const isFirstNotRun = "error" in firstResult &&
    firstResult.outcome === "not run";
  return hasAnswer(secondResult) || isFirstNotRun ? secondResult : firstResult;
}
