import PQueue from "p-queue";
import {
  createError,
  type DispatchError,
  ERROR_ANSWERS,
  isErrorKind,
  type TaskOutcome,
} from "../../state/errors/mod.ts";
import { getDigest } from "../../state/hashing/mod.ts";
import type { Timeline } from "../../state/timeline/mod.ts";
import type { Result } from "../messages/mod.ts";
import type { AgentLink } from "./agent_link.ts";
import type { AgentPool } from "./agent_pool.ts";
import { Demand } from "./demand.ts";
import { DispatchQueue } from "./dispatch_queue.ts";
import type { DispatchQueueOptions } from "./dispatch_queue_options.ts";
import type { PlannedTask } from "./planned_task.ts";
import type { TaskAnswer } from "./task_answer.ts";
import type { TaskFailure } from "./task_failure.ts";

/** Wait for the result of a cancelled dispatch before its task counts as unknown, in milliseconds. */
const CANCEL_GRACE_MS = 1_000;

/** Wait before a refused task is placed again, in milliseconds. */
const REFUSED_DELAY_MS = 20;

interface Attempt {
  readonly link: AgentLink;
  readonly id: number;
  readonly result: Promise<Result | DispatchError>;
}

export interface TaskDispatcherOptions {
  pool: AgentPool;
  timeline: Timeline;
}

/** Places tasks on agents, and tries again where that is safe. */
export class TaskDispatcher {
  readonly #pool: AgentPool;
  readonly #timeline: Timeline;
  readonly #demand: Demand;
  readonly #waiting: DispatchQueue;
  readonly #queue: PQueue<DispatchQueue, DispatchQueueOptions>;

  constructor(options: TaskDispatcherOptions) {
    this.#pool = options.pool;
    this.#timeline = options.timeline;
    this.#demand = new Demand({
      index: this.#pool.index,
      getWaiting: () => this.#waiting.waitingByService,
    });
    const waiting = new DispatchQueue((task) =>
      this.#pool.canPlace(task.service, task.homeId)
    );
    this.#waiting = waiting;
    // p-queue creates its queue itself; the constructor returns the one that this class also looks into.
    const queueClass = function () {
      return waiting;
    } as unknown as new () => DispatchQueue;
    this.#queue = new PQueue<DispatchQueue, DispatchQueueOptions>({
      queueClass,
    });
  }

  /** Gets the number of tasks that wait for an agent. */
  get waiting(): number {
    return this.#waiting.waiting;
  }

  /** Gets the number of waiting tasks that one agent is told. */
  getDemand(link: AgentLink): number {
    return this.#demand.getShare(link);
  }

  /** Stops the timers. */
  stop(): void {
    this.#demand.stop();
  }

  /** Starts the waiting tasks that can be placed now. */
  startPlaceable(): void {
    // Setting the concurrency is p-queue's way to look at its queue again.
    this.#queue.concurrency = Number.POSITIVE_INFINITY;
  }

  /**
   * Runs a task until it has an answer or has failed for good.
   * @param task - The task.
   * @param signal - Aborts with a `DispatchError` as its reason.
   */
  async run(
    task: PlannedTask,
    signal: AbortSignal,
  ): Promise<TaskAnswer | TaskFailure> {
    let earlier: TaskOutcome = "not run";
    for (let attempt = 1;; attempt++) {
      const placed = await this.#place(task, { attempt, signal });
      if (placed === undefined) {
        return addEarlier(
          createFailure(task, signal.reason as DispatchError),
          earlier,
        );
      }
      const result = await this.#waitForResult(task, placed, {
        attempt,
        signal,
      });
      const answer = readAnswer(task, result);
      if (!("error" in answer)) {
        this.#timeline.record("task_answered", {
          key: task.key,
          index: task.index,
          attempt,
        });
        return answer;
      }
      const detail = answer.error.kind;
      this.#timeline.record("attempt_failed", {
        key: task.key,
        index: task.index,
        attempt,
        detail,
      });
      if (signal.aborted || !canRetry(task, answer, attempt)) {
        return addEarlier(answer, earlier);
      }
      earlier = answer.outcome === "not run" ? earlier : answer.outcome;
      await new Promise((resolve) => setTimeout(resolve, REFUSED_DELAY_MS));
    }
  }

  async #place(
    task: PlannedTask,
    options: { attempt: number; signal: AbortSignal },
  ): Promise<Attempt | undefined> {
    if (options.signal.aborted) {
      return undefined;
    }
    try {
      const placed = this.#queue.add(
        () => Promise.resolve(this.#send(task, options.attempt)),
        {
          customer: task.customer,
          service: task.service,
          priority: task.priority,
          weight: task.weight,
          homeId: task.homeId,
          signal: options.signal,
        },
      );
      if (this.#waiting.waiting > 0) {
        this.#demand.start();
      }
      return await placed;
    } catch {
      return undefined;
    }
  }

  #send(task: PlannedTask, attempt: number): Attempt {
    const link = this.#pool.select(task.service, task.homeId);
    if (link === undefined) {
      throw new Error("the queue released a task that no agent can take");
    }
    const { key, index, service, body, timeoutMs, repeatable, customer } = task;
    this.#timeline.record("task_sent", {
      key,
      index,
      attempt,
      detail: link.member.id,
    });
    const { id, result } = link.dispatch({
      key,
      index,
      attempt,
      service,
      body,
      timeoutMs,
      repeatable,
      customer,
      onCredit: true,
    });
    this.#demand.recordDispatch();
    return { link, id, result };
  }

  /** Waits for a result. After an abort it cancels the dispatch and waits a little longer. */
  async #waitForResult(
    task: PlannedTask,
    placed: Attempt,
    options: { attempt: number; signal: AbortSignal },
  ): Promise<Result | DispatchError> {
    const { signal, attempt } = options;
    let timer: NodeJS.Timeout | undefined;
    let onAbort: (() => void) | undefined;
    const gaveUp = new Promise<DispatchError>((resolve) => {
      onAbort = () => {
        const { key, index } = task;
        placed.link.cancel({ dispatchId: placed.id, key, index, attempt });
        const error = createError("timeout", "no result in time");
        timer = setTimeout(() => resolve(error), CANCEL_GRACE_MS);
      };
      if (signal.aborted) {
        onAbort();
      } else {
        signal.addEventListener("abort", onAbort, { once: true });
      }
    });
    const result = await Promise.race([placed.result, gaveUp]);
    clearTimeout(timer);
    if (onAbort !== undefined) {
      signal.removeEventListener("abort", onAbort);
    }
    placed.link.forget(placed.id);
    return result;
  }
}

function readAnswer(
  task: PlannedTask,
  result: Result | DispatchError,
): TaskAnswer | TaskFailure {
  if ("kind" in result) {
    return createFailure(task, result);
  }
  if (result.errorKind !== "") {
    const kind = isErrorKind(result.errorKind) ? result.errorKind : "internal";
    return createFailure(task, createError(kind, result.message));
  }
  if (getDigest(result.body) !== result.digest) {
    return createFailure(
      task,
      createError("corrupt_answer", "the answer's digest doesn't match"),
    );
  }
  if (result.status >= 500) {
    const message = `the upstream answered with status ${result.status}`;
    return createFailure(task, createError("upstream_failed", message));
  }
  const { status, body, digest } = result;
  return { index: task.index, status, body, digest };
}

function createFailure(task: PlannedTask, error: DispatchError): TaskFailure {
  return {
    index: task.index,
    error,
    outcome: ERROR_ANSWERS[error.kind].outcome,
  };
}

/** A last attempt that didn't run says nothing about the attempts before it, which may have run. */
function addEarlier(failure: TaskFailure, earlier: TaskOutcome): TaskFailure {
  return failure.outcome === "not run"
    ? { ...failure, outcome: earlier }
    : failure;
}

/** A task that didn't start may always be placed again; one that may have run only if it is repeatable. */
function canRetry(
  task: PlannedTask,
  failure: TaskFailure,
  attempt: number,
): boolean {
  if (failure.outcome === "not run") {
    return true;
  }
  return task.repeatable && attempt < task.maxAttempts;
}
