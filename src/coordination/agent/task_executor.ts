import PQueue from "p-queue";
import { createError, type DispatchError } from "../../state/errors/mod.ts";
import { getDigest } from "../../state/hashing/mod.ts";
import type { StartRecords } from "../../state/starts/mod.ts";
import type { Timeline } from "../../state/timeline/mod.ts";
import type { UpstreamClient, UpstreamRequest } from "../ports/mod.ts";
import type { CancelRequest, Dispatch } from "../messages/mod.ts";
import { createFailedResult } from "./create_failed_result.ts";
import type { StartGate } from "./start_gate.ts";
import type { TaskResult } from "./task_result.ts";

export interface TaskExecutorOptions {
  gate: StartGate;
  records: StartRecords<TaskResult>;
  upstream: UpstreamClient;
  timeline: Timeline;
  /** Maximum number of concurrent tasks. */
  slots: number;
  /** Maximum number of tasks that wait for a slot. Defaults to `slots`. */
  maxWaiting?: number;
}

/**
 * Runs task attempts at the upstream. Each attempt starts at most once: a
 * duplicate dispatch gets the result of the first one, and an attempt that is
 * cancelled before its start leaves a tombstone.
 */
export class TaskExecutor {
  readonly #gate: StartGate;
  readonly #records: StartRecords<TaskResult>;
  readonly #upstream: UpstreamClient;
  readonly #timeline: Timeline;
  readonly #queue: PQueue;
  readonly #maxWaiting: number;
  readonly #abortControllers = new Map<string, AbortController>();

  constructor(options: TaskExecutorOptions) {
    this.#gate = options.gate;
    this.#records = options.records;
    this.#upstream = options.upstream;
    this.#timeline = options.timeline;
    this.#maxWaiting = options.maxWaiting ?? options.slots;
    this.#queue = new PQueue({ concurrency: Math.max(1, options.slots) });
  }

  /** Gets the number of attempts that are running or waiting. */
  get attemptCount(): number {
    return this.#queue.pending + this.#queue.size;
  }

  /** Sets the maximum number of concurrent tasks. */
  setSlots(slots: number): void {
    this.#queue.concurrency = Math.max(1, slots);
  }

  /** Waits until no attempt is running or waiting. */
  async waitForIdle(): Promise<void> {
    await this.#queue.onIdle();
  }

  /**
   * Checks whether an attempt already has a record, so that running it needs no
   * slot.
   */
  hasRecord(dispatch: Dispatch): boolean {
    const { key, index, attempt } = dispatch;
    return this.#records.get(key, index, attempt) !== undefined;
  }

  /**
   * Runs an attempt. If the same attempt arrived before, returns its result
   * instead.
   * @param dispatch - The attempt.
   * @param coordinatorId - Member id of the entry that sent it.
   */
  run(dispatch: Dispatch, coordinatorId: string): Promise<TaskResult> {
    const existing = this.#records.get(
      dispatch.key,
      dispatch.index,
      dispatch.attempt,
    );
    switch (existing?.state) {
      case undefined:
        return this.#enqueue(dispatch, coordinatorId);
      case "waiting":
      case "started":
        return existing.result;
      case "tombstone":
        return Promise.resolve(
          createFailedResult("cancelled", "cancelled before the start"),
        );
      default:
        return existing satisfies never;
    }
  }

  /**
   * Cancels an attempt. An attempt that hasn't started will never start; the
   * upstream call of a running attempt is aborted.
   */
  cancel(cancel: CancelRequest): void {
    const record = this.#records.get(cancel.key, cancel.index, cancel.attempt);
    if (record === undefined || record.state === "waiting") {
      this.#records.set(cancel, { state: "tombstone" });
    }
    this.#abortControllers.get(getAttemptId(cancel))?.abort();
  }

  #enqueue(dispatch: Dispatch, coordinatorId: string): Promise<TaskResult> {
    const refusal = this.#gate.getRefusalFor(coordinatorId);
    if (refusal !== undefined) {
      return Promise.resolve(this.#refuse(dispatch, refusal));
    }
    if (this.attemptCount >= this.#queue.concurrency + this.#maxWaiting) {
      const busy = createError("busy", "no free slot");
      return Promise.resolve(this.#refuse(dispatch, busy));
    }
    const result = this.#queue.add(() =>
      this.#startAttempt(dispatch, coordinatorId)
    );
    // The queue may have started the attempt already and recorded the start.
    // That record must not be overwritten.
    if (
      this.#records.get(dispatch.key, dispatch.index, dispatch.attempt) ===
        undefined
    ) {
      this.#records.set(dispatch, { state: "waiting", result });
    }
    return result;
  }

  #refuse(dispatch: Dispatch, refusal: DispatchError): TaskResult {
    const { key, index, attempt } = dispatch;
    const { kind, message } = refusal;
    this.#timeline.record("task_refused", {
      key,
      index,
      attempt,
      detail: kind,
    });
    return createFailedResult(kind, message);
  }

  async #startAttempt(
    dispatch: Dispatch,
    coordinatorId: string,
  ): Promise<TaskResult> {
    const { key, index, attempt } = dispatch;
    const controller = new AbortController();
    this.#abortControllers.set(getAttemptId(dispatch), controller);
    let hasStarted = false;
    const result = this.#callUpstream(dispatch, {
      signal: controller.signal,
      checkStart: () => {
        const refusal = this.#getStartRefusal(dispatch, coordinatorId);
        if (refusal === undefined) {
          hasStarted = true;
          this.#records.set(dispatch, {
            state: "started",
            coordinator: coordinatorId,
            result,
          });
          this.#timeline.record("task_started", { key, index, attempt });
        }
        return refusal;
      },
    });
    try {
      return await result;
    } finally {
      this.#abortControllers.delete(getAttemptId(dispatch));
      if (
        !hasStarted &&
        this.#records.get(key, index, attempt)?.state === "waiting"
      ) {
        this.#records.remove(key, index, attempt);
      }
    }
  }

  #getStartRefusal(
    dispatch: Dispatch,
    coordinatorId: string,
  ): DispatchError | undefined {
    if (
      this.#records.get(dispatch.key, dispatch.index, dispatch.attempt)
        ?.state === "tombstone"
    ) {
      return createError("cancelled", "cancelled before the start");
    }
    return this.#gate.getRefusalFor(coordinatorId);
  }

  async #callUpstream(
    dispatch: Dispatch,
    options: Pick<UpstreamRequest, "signal" | "checkStart">,
  ): Promise<TaskResult> {
    const { key, index, attempt } = dispatch;
    const startedAt = performance.now();
    const answer = await this.#upstream.call({ ...dispatch, ...options });
    const runMs = Math.round(performance.now() - startedAt);
    if (answer.isErr()) {
      const { kind, message } = answer.error;
      this.#timeline.record("task_failed", {
        key,
        index,
        attempt,
        detail: kind,
      });
      return { ...createFailedResult(kind, message), runMs };
    }
    this.#timeline.record("task_ended", { key, index, attempt });
    const { status, body } = answer.value;
    return {
      errorKind: "",
      message: "",
      status,
      body,
      digest: getDigest(body),
      runMs,
    };
  }
}

function getAttemptId(
  task: { key: string; index: number; attempt: number },
): string {
  return `${task.index}/${task.attempt}/${task.key}`;
}
