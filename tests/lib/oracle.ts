import type { TaskStart } from "../../src/stand_in/mod.ts";
import type { CallerAnswer } from "./caller_answer.ts";

/**
 * Kinds of errors that only state that the entry doesn't know the job's
 * outcome. They are consistent with every other answer.
 */
const INCONCLUSIVE_ERROR_KINDS = [
  "home_unreachable",
  "held_back",
  "coordinator_lost",
  "not_ready",
];

/**
 * A submission by a caller. A resubmission is a further one with the same key.
 */
export interface OracleSubmission {
  readonly key: string;
  readonly bodies: readonly string[];
  readonly repeatable: boolean;
  readonly sentAt: number;
  /**
   * The answer that the caller received; undefined when it timed out or the
   * connection broke.
   */
  answer?: CallerAnswer;
  answeredAt?: number;
  /** Whether the connection was refused, so that nothing was submitted. */
  isRefused?: boolean;
}

/**
 * Records the submissions of callers with their answers, and checks them
 * against the task starts that the upstreams recorded.
 */
export class Oracle {
  readonly submissions: OracleSubmission[] = [];

  /** Records a submission. Its caller sets `answer` and `answeredAt` later. */
  add(submission: Omit<OracleSubmission, "sentAt">): OracleSubmission {
    const added = { ...submission, sentAt: Date.now() };
    this.submissions.push(added);
    return added;
  }

  /** Gets the share of keys for which some caller got a complete answer. */
  getCompletedShare(): number {
    const keys = new Set(this.submissions.map(({ key }) => key));
    const complete = this.submissions.filter(({ answer }) =>
      answer?.status === "complete"
    );
    return new Set(complete.map(({ key }) => key)).size / keys.size;
  }

  /**
   * Finds every violation of a guarantee. Must be called after all tasks have
   * ended, since "not run" also rules out a later start.
   */
  findViolations(starts: readonly TaskStart[]): string[] {
    return [
      ...this.findDoubleStarts(starts),
      ...this.submissions.flatMap((submission) =>
        this.#checkAnswer(submission, starts)
      ),
      ...this.#findConflictingAnswers(),
    ];
  }

  /**
   * Finds tasks that started more than once; for repeatable tasks, attempts
   * that started more than once.
   */
  findDoubleStarts(starts: readonly TaskStart[]): string[] {
    const repeatable = new Set(
      this.submissions.filter((submission) => submission.repeatable).map((
        { key },
      ) => key),
    );
    const counts = new Map<string, number>();
    for (const { key, index, attempt } of starts) {
      const suffix = repeatable.has(getCallerKey(key)) ? `/${attempt}` : "";
      const id = `${getCallerKey(key)}/${index}${suffix}`;
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    return [...counts].filter(([, count]) => count > 1)
      .map(([id, count]) => `${id} started ${count} times`);
  }

  #checkAnswer(
    submission: OracleSubmission,
    starts: readonly TaskStart[],
  ): string[] {
    const { key, bodies, answer } = submission;
    const own = starts.filter((start) => getCallerKey(start.key) === key);
    switch (answer?.status) {
      case undefined:
        return [];
      case "complete":
        return bodies.flatMap((body, index) => {
          const found = answer.answers.filter((one) => one.index === index);
          const isCorrect = found.length === 1 && found[0]?.body === body &&
            own.some((start) => start.index === index);
          return isCorrect
            ? []
            : [`${key}/${index}: partial, wrong or without a start`];
        }).concat(
          answer.answers.length === bodies.length
            ? []
            : [`${key}: ${answer.answers.length} answers`],
        );
      case "failed":
        return bodies.flatMap((_, index) =>
          this.#checkOutcome(submission, { index, own })
        );
    }
  }

  /** Checks the reported outcome of one task of a failed submission. */
  #checkOutcome(
    submission: OracleSubmission,
    options: { index: number; own: readonly TaskStart[] },
  ): string[] {
    const { key, answer } = submission;
    const { index } = options;
    if (answer?.status !== "failed") {
      return [];
    }
    const found = answer.tasks?.filter((task) => task.index === index) ?? [];
    if (answer.tasks !== undefined && found.length !== 1) {
      return [`${key}/${index}: ${found.length} outcomes`];
    }
    const { outcome, kind } = found[0] ??
      { ...answer.error, outcome: answer.error.outcome };
    const own = options.own.filter((start) => start.index === index);
    if (outcome === "run" && own.length === 0) {
      return [`${key}/${index}: "run" (${kind}) without a start`];
    }
    const isUntrue = outcome === "not run" &&
      own.some((start) => !this.#canBelongToOther(submission, start));
    return isUntrue ? [`${key}/${index}: untrue "not run" (${kind})`] : [];
  }

  /**
   * Returns whether a start can belong to another submission of the same key,
   * such as a resubmission after "not run".
   */
  #canBelongToOther(submission: OracleSubmission, start: TaskStart): boolean {
    return this.submissions.some((other) =>
      other !== submission && other.key === submission.key &&
      other.sentAt <= start.timeMs &&
      (other.answeredAt ?? Infinity) >= start.timeMs &&
      !(other.answer?.status === "failed" &&
        other.answer.error.outcome === "not run")
    );
  }

  /**
   * Finds answers that contradict a complete answer for the same key: a
   * complete one that differs, or a failure of a submission that was sent after
   * it.
   */
  #findConflictingAnswers(): string[] {
    return this.submissions.flatMap((first) =>
      first.answer?.status !== "complete"
        ? []
        : this.submissions.filter((other) =>
          other.key === first.key && other.answer !== undefined &&
          (other.answer.status === "complete" ||
            other.sentAt >= (first.answeredAt ?? Infinity)) &&
          !isConsistent(first.answer, other.answer)
        ).map((other) =>
          `${first.key}: another answer: ${other.answer?.status}`
        )
    );
  }
}

/**
 * Gets the key as the caller sent it. Upstreams receive it with the customer as
 * prefix.
 */
function getCallerKey(key: string): string {
  return key.slice(key.indexOf("/") + 1);
}

function isConsistent(
  complete: CallerAnswer | undefined,
  other: CallerAnswer,
): boolean {
  return other.status === "complete"
    ? JSON.stringify(complete) === JSON.stringify(other)
    : INCONCLUSIVE_ERROR_KINDS.includes(other.error.kind);
}
