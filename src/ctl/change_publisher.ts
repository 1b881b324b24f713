import { err, ok, type Result } from "neverthrow";
import type { LogFollower } from "../coordination/follower/mod.ts";
import type { LogService } from "../coordination/ports/mod.ts";
import { createError, type DispatchError } from "../state/errors/mod.ts";
import type { ChangeOutcome, ChangeRecord } from "../state/view/mod.ts";

/** Delay before a failed append or read is retried, in milliseconds. */
const RETRY_DELAY_MS = 250;

export interface ChangePublisherOptions {
  log: LogService;
  follower: LogFollower;
  /** Time after which publishing gives up, in milliseconds. */
  timeoutMs: number;
}

/**
 * Publishes a change of the settings. The outcome is determined by applying the
 * log's records, never by the reply to the append: the reply may be lost, and
 * when operators publish concurrently, only the order of the log decides whose
 * change is accepted.
 */
export class ChangePublisher {
  readonly #log: LogService;
  readonly #follower: LogFollower;
  readonly #timeoutMs: number;
  #deadline = 0;

  constructor(options: ChangePublisherOptions) {
    this.#log = options.log;
    this.#follower = options.follower;
    this.#timeoutMs = options.timeoutMs;
  }

  /**
   * Publishes a change and gets its outcome. The error `log_unreachable` means
   * that the change was not published; `publish_unknown` means that it may be
   * in the log or may still be appended to it. Publishing it again with the
   * same id determines which.
   */
  async publish(
    change: ChangeRecord,
  ): Promise<Result<ChangeOutcome, DispatchError>> {
    this.#deadline = performance.now() + this.#timeoutMs;
    let mayBePublished = false;
    for (;;) {
      // The log may already hold a record with this id: from an append whose
      // reply was lost, or from an earlier run of the command.
      const hasReadLog = await this.#follower.readToHead();
      const knownOutcome = this.#follower.view.getChangeOutcome(change.id);
      if (knownOutcome !== undefined) {
        return ok(knownOutcome);
      }
      if (hasReadLog) {
        const appended = await this.#log.append(change);
        if (appended.isOk()) {
          return await this.#waitForOutcome(change.id, appended.value);
        }
        mayBePublished ||= appended.error.kind === "publish_unknown";
      }
      if (performance.now() > this.#deadline) {
        return err(createTimeoutError(change.id, mayBePublished));
      }
      await waitToRetry();
    }
  }

  async #waitForOutcome(
    id: string,
    offset: number,
  ): Promise<Result<ChangeOutcome, DispatchError>> {
    const { view } = this.#follower;
    while (performance.now() < this.#deadline) {
      await this.#follower.readToHead();
      const outcome = view.getChangeOutcome(id);
      if (outcome !== undefined) {
        return ok(outcome);
      }
      if (view.offset >= offset) {
        const message =
          `this version of ctl can't read its own record at offset ${offset}`;
        return err(createError("internal", message));
      }
      await waitToRetry();
    }
    const message = `change ${id} is stored at offset ${offset}, but the log ` +
      "can't be read to see whether it is accepted";
    return err(createError("publish_unknown", message));
  }
}

function createTimeoutError(
  id: string,
  mayBePublished: boolean,
): DispatchError {
  return mayBePublished
    ? createError(
      "publish_unknown",
      `change ${id} may have been published; repeat the command with --change-id ${id} to find out`,
    )
    : createError(
      "log_unreachable",
      "the log can't be reached; nothing was published",
    );
}

function waitToRetry(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
}
