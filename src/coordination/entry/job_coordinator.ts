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

/** Runs submissions from their claim to their one answer. */
export class JobCoordinator {
  readonly #options: JobCoordinatorOptions;
  readonly #running = new Map<string, AbortController>();
  #isDraining = false;
  #open = 0;

  constructor(options: JobCoordinatorOptions) {
    this.#options = options;
  }

  /** Gets the number of submissions that this entry runs. */
  get runningSubmissions(): number {
    return this.#running.size;
  }

  /** Gets the number of submissions without an answer, from their claim on. */
  get openSubmissions(): number {
    return this.#open;
  }

  /** Refuses new submissions from now on. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /**
   * Cancels a submission that this entry runs. Returns false when it runs none
   * with this key.
   */
  cancel(key: string): boolean {
    const controller = this.#running.get(key);
    controller?.abort(createError("cancelled", "cancelled by the caller"));
    return controller !== undefined;
  }

  /**
   * Ends all running submissions after this entry was removed. The homes have
   * given their keys up as lost, so nothing else than "unknown" may be
   * answered, also for tasks that never started.
   */
  close(): void {
    const error = createError(
      "coordinator_lost",
      "the other processes removed this entry",
    );
    for (const controller of this.#running.values()) {
      controller.abort(error);
    }
  }

  /**
   * Runs a submission, or joins it when it runs already, and gets its answer.
   * Everything but malformed requests is refused after the claim only, so that
   * a resubmission is never told "not run" by mistake.
   */
  async submit(submission: Submission): Promise<StoredAnswer> {
    this.#open++;
    try {
      return await this.#submit(submission);
    } finally {
      this.#open--;
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
      return this.#answerUngranted(submission, reply);
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

  #answerUngranted(
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
          "the key's home can't be reached",
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
    this.#running.set(submission.key, controller);
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
      this.#running.delete(submission.key);
    }
  }

  #planTasks(submission: Submission, rules: ResolvedRules): PlannedTask[] {
    const { view, homes, dispatcher } = this.#options;
    const { key, customer, team = "", service } = submission;
    const settings = view.settings.customers?.[customer];
    const homeId = homes.find(key)?.id;
    const runKey = getRunTimeKey(view.settings, submission);
    const order = dispatcher.getOrder(runKey, submission.tasks.length);
    return submission.tasks.map((task) => ({
      ...task,
      ...{ key, customer, team, service, homeId },
      runTimeKey: runKey,
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
  const [only] = outcomes;
  return {
    type: "failed",
    error,
    outcome: outcomes.size === 1 && only !== undefined ? only : "unknown",
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
