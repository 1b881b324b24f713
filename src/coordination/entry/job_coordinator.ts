import { setMaxListeners } from "node:events";
import {
  createError,
  type DispatchError,
  ERROR_RESPONSES,
  type ErrorKind,
} from "../../state/errors/mod.ts";
import type { HomeFinder } from "../../state/homes/mod.ts";
import { type ResolvedRules, resolveRules } from "../../state/settings/mod.ts";
import type { Timeline } from "../../state/timeline/mod.ts";
import type { ClusterView } from "../../state/view/mod.ts";
import type { ClaimReply, StoredAnswer } from "../messages/mod.ts";
import type { AdmissionControl } from "./admission_control.ts";
import type { ClaimClient } from "./claim_client.ts";
import { getRunTimeKey } from "./get_run_time_key.ts";
import type { JobOutcome } from "./job_outcome.ts";
import type { PlannedTask } from "./planned_task.ts";
import type { Submission } from "./submission.ts";
import type { TaskAnswer } from "./task_answer.ts";
import type { TaskDispatcher } from "./task_dispatcher.ts";
import type { TaskFailure } from "./task_failure.ts";

export interface JobCoordinatorOptions {
  view: ClusterView;
  homes: HomeFinder;
  claims: ClaimClient;
  dispatcher: TaskDispatcher;
  admission: AdmissionControl;
  timeline: Timeline;
}

/**
 * Runs submissions: claims their idempotency keys, dispatches their tasks and
 * stores their answers.
 */
export class JobCoordinator {
  readonly #options: JobCoordinatorOptions;
  readonly #abortControllers = new Map<string, AbortController>();
  #isDraining = false;
  #openCount = 0;

  constructor(options: JobCoordinatorOptions) {
    this.#options = options;
  }

  /** Gets the number of submissions that this entry runs. */
  get runningSubmissions(): number {
    return this.#abortControllers.size;
  }

  /** Gets the number of submissions that were received and not yet answered. */
  get openSubmissions(): number {
    return this.#openCount;
  }

  /** Starts to refuse new submissions. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /**
   * Cancels a submission that this entry runs. Returns false when it runs none
   * with this key.
   */
  cancel(key: string): boolean {
    const controller = this.#abortControllers.get(key);
    controller?.abort(createError("cancelled", "cancelled by the caller"));
    return controller !== undefined;
  }

  /**
   * Aborts all running submissions after this entry was removed from the
   * cluster. The agents that store the claims have marked them as lost, so the
   * only allowed outcome is "unknown", even for tasks that never started.
   */
  close(): void {
    const error = createError(
      "coordinator_lost",
      "the other processes removed this entry",
    );
    for (const controller of this.#abortControllers.values()) {
      controller.abort(error);
    }
  }

  /**
   * Runs a submission and returns its answer. When a submission with the same
   * key is already running, waits for that one's answer. Only malformed
   * requests are refused before the claim, so that the answer to a resubmission
   * is never a false "not run".
   */
  async submit(submission: Submission): Promise<StoredAnswer> {
    this.#openCount++;
    try {
      return await this.#submit(submission);
    } finally {
      this.#openCount--;
    }
  }

  async #submit(submission: Submission): Promise<StoredAnswer> {
    const { claims, timeline } = this.#options;
    const { key, fingerprint } = submission;
    const rules = this.#resolveRules(submission);
    const deadline = performance.now() + rules.deadlineMs;
    timeline.record("submission_received", { key, detail: submission.service });
    const reply = await claims.claim(key, fingerprint, { deadline });
    if (reply?.outcome !== "granted") {
      const detail = reply?.outcome ?? "home_unreachable";
      timeline.record("claim_not_granted", { key, detail });
      return this.#createUngrantedAnswer(submission, reply);
    }
    timeline.record("claim_granted", { key });
    const refusal = this.#isDraining
      ? createError("draining", "the entry is stopping")
      : this.#options.admission.findRefusal(submission, { rules, deadline });
    if (refusal !== undefined) {
      timeline.record("submission_refused", { key, detail: refusal.kind });
      await claims.complete(key, fingerprint);
      return submission.formatAnswer(createFailedOutcome(submission, refusal));
    }
    const outcome = await this.#run(submission, { rules, deadline });
    const answer = submission.formatAnswer(outcome);
    await claims.complete(key, fingerprint, answer);
    timeline.record("submission_answered", { key, detail: outcome.type });
    return answer;
  }

  #resolveRules(submission: Submission): ResolvedRules {
    const options = submission.job === undefined ? {} : { job: submission.job };
    const rules = resolveRules(
      this.#options.view.settings,
      submission.service,
      options,
    );
    const deadlineMs = Math.min(
      submission.deadlineMs ?? rules.deadlineMs,
      rules.deadlineMs,
    );
    return {
      ...rules,
      deadlineMs,
      priority: submission.priority ?? rules.priority,
    };
  }

  #createUngrantedAnswer(
    submission: Submission,
    reply: ClaimReply | undefined,
  ): StoredAnswer {
    switch (reply?.outcome) {
      case "done":
        if (reply.answer !== undefined) {
          return reply.answer;
        }
        return this.#formatError(
          submission,
          "internal",
          "the stored answer is missing",
        );
      case "conflict":
        return this.#formatError(
          submission,
          "idempotency_conflict",
          "the idempotency key belongs to another request",
        );
      case "lost":
        return this.#formatError(
          submission,
          "coordinator_lost",
          "the entry that ran this submission was lost",
        );
      case undefined:
        return this.#formatError(
          submission,
          "home_unreachable",
          "the agent that stores the key's claim can't be reached",
        );
      default:
        return this.#formatError(
          submission,
          "held_back",
          "the key's claim can't be decided yet",
        );
    }
  }

  #formatError(
    submission: Submission,
    kind: ErrorKind,
    message: string,
  ): StoredAnswer {
    return submission.formatAnswer(
      createFailedOutcome(submission, createError(kind, message)),
    );
  }

  async #run(
    submission: Submission,
    options: { rules: ResolvedRules; deadline: number },
  ): Promise<JobOutcome> {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    this.#abortControllers.set(submission.key, controller);
    const expire = () =>
      controller.abort(createError("expired", "the deadline has passed"));
    const timer = setTimeout(expire, options.deadline - performance.now());
    try {
      const results = await Promise.all(
        this.#planTasks(submission, options.rules).map(async (task) => {
          const result = await this.#options.dispatcher.run(
            task,
            controller.signal,
          );
          if ("error" in result) {
            controller.abort(
              createError("cancelled", `task ${task.index} failed`),
            );
          }
          return result;
        }),
      );
      return createOutcome(results);
    } finally {
      clearTimeout(timer);
      this.#abortControllers.delete(submission.key);
    }
  }

  #planTasks(submission: Submission, rules: ResolvedRules): PlannedTask[] {
    const { view, homes, dispatcher } = this.#options;
    const { key, customer, team = "", service } = submission;
    const settings = view.settings.customers?.[customer];
    const homeId = homes.find(key)?.id;
    const runTimeKey = getRunTimeKey(view.settings, submission);
    const order = dispatcher.getOrder(runTimeKey, submission.tasks.length);
    return submission.tasks.map((task) => ({
      ...task,
      ...{ key, customer, team, service, homeId },
      runTimeKey,
      order,
      priority: rules.priority,
      weight: settings?.weight ?? 1,
      teamWeight: settings?.teams?.[team]?.weight ?? 1,
      timeoutMs: Math.min(task.timeoutMs ?? rules.timeoutMs, rules.timeoutMs),
      maxAttempts: rules.maxAttempts,
      hedging: rules.hedging,
    }));
  }
}

function createOutcome(results: (TaskAnswer | TaskFailure)[]): JobOutcome {
  const failures: TaskFailure[] = [];
  const answers: TaskAnswer[] = [];
  for (const result of results) {
    if ("error" in result) {
      failures.push(result);
    } else {
      answers.push(result);
    }
  }
  if (failures.length === 0) {
    return { type: "complete", answers };
  }
  const cause =
    failures.find((failure) => failure.error.kind !== "cancelled") ??
      failures[0];
  const error = (cause as TaskFailure).error;
  const withheld = answers.map((answer): TaskFailure => ({
    index: answer.index,
    error: createError(
      "cancelled_running",
      "answered, but another task of the job failed",
    ),
    outcome: "run",
  }));
  const tasks = [...failures, ...withheld].sort((a, b) => a.index - b.index);
  const outcomes = new Set(tasks.map((task) => task.outcome));
  const [commonOutcome] = outcomes;
  return {
    type: "failed",
    error,
    outcome: outcomes.size === 1 && commonOutcome !== undefined
      ? commonOutcome
      : "unknown",
    tasks,
  };
}

function createFailedOutcome(
  submission: Submission,
  error: DispatchError,
): JobOutcome {
  const { outcome } = ERROR_RESPONSES[error.kind];
  const tasks = submission.tasks.map(({ index }) => ({
    index,
    error,
    outcome,
  }));
  return { type: "failed", error, outcome, tasks };
}
