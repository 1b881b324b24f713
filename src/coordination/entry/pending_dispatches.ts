import type { DispatchError } from "../../state/errors/mod.ts";
import type {
  CancelRequest,
  Dispatch,
  DispatchResult,
} from "../messages/mod.ts";

/**
 * Time after which the repeatable tasks of a broken stream may be retried on
 * other agents, in milliseconds. It allows a few attempts to reconnect, and is
 * well below the time after which the agent can be removed.
 */
const STREAM_BROKEN_AFTER_MS = 500;

interface PendingDispatch {
  readonly message: Dispatch;
  readonly onStreamBroken: () => void;
  readonly resolve: (result: DispatchResult | DispatchError) => void;
  cancel?: CancelRequest;
}

/**
 * The dispatches to one agent whose results are pending. They are kept while
 * the stream to the agent is broken.
 */
export class PendingDispatches {
  readonly #dispatches = new Map<number, PendingDispatch>();
  #brokenTimer: NodeJS.Timeout | undefined;
  #nextId = 1;

  /** Gets the number of pending dispatches. */
  get size(): number {
    return this.#dispatches.size;
  }

  /**
   * Adds a dispatch under a new id.
   * @param task - The dispatch without the fields that are set when it is sent.
   * @param options - `onStreamBroken` is called when the stream stays broken
   * while the result is pending.
   */
  add(
    task: Omit<Dispatch, "dispatchId" | "queued" | "clock">,
    options: { onStreamBroken: () => void },
  ): { message: Dispatch; result: Promise<DispatchResult | DispatchError> } {
    const dispatchId = this.#nextId++;
    const message: Dispatch = { ...task, dispatchId, queued: 0, clock: 0 };
    const result = new Promise<DispatchResult | DispatchError>((resolve) => {
      this.#dispatches.set(dispatchId, { message, resolve, ...options });
    });
    return { message, result };
  }

  /** Resolves a dispatch with its result. */
  resolve(result: DispatchResult): void {
    this.#dispatches.get(result.dispatchId)?.resolve(result);
    this.#dispatches.delete(result.dispatchId);
  }

  /** Resolves all dispatches with an error, after the agent was removed. */
  resolveAll(error: DispatchError): void {
    clearTimeout(this.#brokenTimer);
    for (const { resolve } of this.#dispatches.values()) {
      resolve(error);
    }
    this.#dispatches.clear();
  }

  /** Discards a dispatch whose result is no longer awaited. */
  remove(dispatchId: number): void {
    this.#dispatches.delete(dispatchId);
  }

  /** Stores a cancel request, so that it is sent again on a new stream. */
  addCancel(cancel: CancelRequest): void {
    const dispatch = this.#dispatches.get(cancel.dispatchId);
    if (dispatch !== undefined) {
      dispatch.cancel = cancel;
    }
  }

  /** Handles the loss of the stream. */
  handleStreamDown(): void {
    this.#brokenTimer ??= setTimeout(() => {
      this.#brokenTimer = undefined;
      this.#dispatches.forEach(({ onStreamBroken }) => onStreamBroken());
    }, STREAM_BROKEN_AFTER_MS);
  }

  /**
   * Handles a new stream. Returns the pending dispatches and cancel requests,
   * which have to be sent on it again.
   */
  handleStreamUp(): { message: Dispatch; cancel?: CancelRequest }[] {
    clearTimeout(this.#brokenTimer);
    this.#brokenTimer = undefined;
    return [...this.#dispatches.values()];
  }
}
