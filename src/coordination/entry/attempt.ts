import { createError, type DispatchError } from "../../state/errors/mod.ts";
import type { DispatchResult } from "../messages/mod.ts";
import type { AgentLink } from "./agent_link.ts";
import type { PlannedTask } from "./planned_task.ts";
import type { SentAttempt } from "./sent_attempt.ts";

/**
 * Wait for the result of a cancelled dispatch before its task counts as
 * unknown, in milliseconds.
 */
const CANCEL_GRACE_MS = 1_000;

export interface AttemptOptions {
  task: PlannedTask;
  link: AgentLink;
  number: number;
  /** Was the attempt sent on a credit? */
  onCredit: boolean;
}

/** One attempt of a task, sent to one agent. */
export class Attempt implements SentAttempt {
  readonly number: number;
  readonly agentId: string;
  readonly streamBroken: Promise<void>;
  readonly #options: AttemptOptions;
  readonly #id: number;
  readonly #result: Promise<DispatchResult | DispatchError>;

  constructor(options: AttemptOptions) {
    const { task, link, number, onCredit } = options;
    const { key, index, service, body, timeoutMs, repeatable, customer } = task;
    this.agentId = link.member.id;
    this.number = number;
    this.#options = options;
    let setBroken: () => void = () => {};
    this.streamBroken = new Promise((resolve) => setBroken = resolve);
    const sent = { key, index, service, body, timeoutMs, repeatable, customer };
    const { id, result } = link.dispatch(
      { ...sent, attempt: number, onCredit },
      { onStreamBroken: setBroken },
    );
    this.#id = id;
    this.#result = result;
  }

  /**
   * Waits for the result. After an abort it cancels the dispatch and waits a
   * little longer.
   */
  async wait(signal: AbortSignal): Promise<DispatchResult | DispatchError> {
    let timer: NodeJS.Timeout | undefined;
    let onAbort = () => {};
    const gaveUp = new Promise<DispatchError>((resolve) => {
      onAbort = () => {
        this.cancel();
        const error = createError("timeout", "no result in time");
        timer = setTimeout(() => resolve(error), CANCEL_GRACE_MS);
      };
    });
    if (signal.aborted) {
      onAbort();
    }
    signal.addEventListener("abort", onAbort, { once: true });
    const result = await Promise.race([this.#result, gaveUp]);
    clearTimeout(timer);
    signal.removeEventListener("abort", onAbort);
    this.#options.link.removeDispatch(this.#id);
    return result;
  }

  /** Cancels the attempt at its agent. */
  cancel(): void {
    const { task: { key, index }, link } = this.#options;
    const attempt = this.number;
    link.cancel({ dispatchId: this.#id, key, index, attempt });
  }
}
