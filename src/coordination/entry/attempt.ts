import { createError, type DispatchError } from "../../state/errors/mod.ts";
import type { DispatchResult } from "../messages/mod.ts";
import type { AgentLink } from "./agent_link.ts";
import type { PlannedTask } from "./planned_task.ts";
import type { SentAttempt } from "./sent_attempt.ts";

/**
 * Time to wait for the result of a cancelled dispatch before the task's outcome
 * counts as unknown, in milliseconds.
 */
const CANCEL_TIMEOUT_MS = 1_000;

export interface AttemptOptions {
  task: PlannedTask;
  link: AgentLink;
  number: number;
  /** Whether the dispatch uses a credit. */
  onCredit: boolean;
}

/** One attempt of a task, sent to one agent. */
export class Attempt implements SentAttempt {
  readonly number: number;
  readonly agentId: string;
  readonly streamBroken: Promise<void>;
  readonly #options: AttemptOptions;
  readonly #dispatchId: number;
  readonly #result: Promise<DispatchResult | DispatchError>;

  constructor(options: AttemptOptions) {
    const { task, link, number, onCredit } = options;
    const { key, index, service, body, timeoutMs, repeatable, customer } = task;
    this.agentId = link.member.id;
    this.number = number;
    this.#options = options;
    let resolveStreamBroken: () => void = () => {};
    this.streamBroken = new Promise((resolve) => resolveStreamBroken = resolve);
    const fields = {
      key,
      index,
      service,
      body,
      timeoutMs,
      repeatable,
      customer,
    };
    const { id, result } = link.dispatch(
      { ...fields, attempt: number, onCredit },
      { onStreamBroken: resolveStreamBroken },
    );
    this.#dispatchId = id;
    this.#result = result;
  }

  /**
   * Waits for the result. After an abort, cancels the dispatch and waits up to
   * `CANCEL_TIMEOUT_MS` for its result; then returns a `timeout` error.
   */
  async wait(signal: AbortSignal): Promise<DispatchResult | DispatchError> {
    let timer: NodeJS.Timeout | undefined;
    let onAbort = () => {};
    const cancelTimedOut = new Promise<DispatchError>((resolve) => {
      onAbort = () => {
        this.cancel();
        const error = createError("timeout", "no result in time");
        timer = setTimeout(() => resolve(error), CANCEL_TIMEOUT_MS);
      };
    });
    if (signal.aborted) {
      onAbort();
    }
    signal.addEventListener("abort", onAbort, { once: true });
    const result = await Promise.race([this.#result, cancelTimedOut]);
    clearTimeout(timer);
    signal.removeEventListener("abort", onAbort);
    this.#options.link.removeDispatch(this.#dispatchId);
    return result;
  }

  /** Cancels the attempt at its agent. */
  cancel(): void {
    const { task: { key, index }, link } = this.#options;
    const attempt = this.number;
    link.cancel({ dispatchId: this.#dispatchId, key, index, attempt });
  }
}
