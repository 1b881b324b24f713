import type { DispatchError } from "../../state/errors/mod.ts";
import type {
  CancelRequest,
  Dispatch,
  DispatchResult,
} from "../messages/mod.ts";

/**
 * Time for which a stream may be broken before its repeatable tasks may be
 * tried elsewhere, in milliseconds: a few reconnections, and well before the
 * agent can be removed.
 */
const BROKEN_AFTER_MS = 500;

interface OpenDispatch {
  readonly message: Dispatch;
  readonly onStreamBroken: () => void;
  readonly resolve: (result: DispatchResult | DispatchError) => void;
  cancel?: CancelRequest;
}

/**
 * The dispatches of one stream whose results are awaited. They outlive a broken
 * stream.
 */
export class OpenDispatches {
  readonly #dispatches = new Map<number, OpenDispatch>();
  #brokenTimer: NodeJS.Timeout | undefined;
  #nextId = 1;

  /** Gets the number of open dispatches. */
  get size(): number {
    return this.#dispatches.size;
  }

  /**
   * Adds a dispatch under a new id.
   * @param task - The dispatch without what depends on the stream.
   * @param options - `onBroken` is called when the stream stays broken while
   * the result is open.
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

  /** Forgets a dispatch whose result isn't awaited any more. */
  remove(dispatchId: number): void {
    this.#dispatches.delete(dispatchId);
  }

  /** Remembers a cancel, to send it again on a new stream. */
  addCancel(cancel: CancelRequest): void {
    const open = this.#dispatches.get(cancel.dispatchId);
    if (open !== undefined) {
      open.cancel = cancel;
    }
  }

  /** Records that the stream has broken. */
  handleStreamDown(): void {
    this.#brokenTimer ??= setTimeout(() => {
      this.#brokenTimer = undefined;
      this.#dispatches.forEach(({ onStreamBroken: onBroken }) => onBroken());
    }, BROKEN_AFTER_MS);
  }

  /**
   * Records that the stream is up again, and gets what has to be sent on it.
   */
  handleStreamUp(): { message: Dispatch; cancel?: CancelRequest }[] {
    clearTimeout(this.#brokenTimer);
    this.#brokenTimer = undefined;
    return [...this.#dispatches.values()];
  }
}
