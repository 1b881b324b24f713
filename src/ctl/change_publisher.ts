import { err, ok, type Result } from "neverthrow";
import type { LogFollower } from "../coordination/follower/mod.ts";
import type { LogService } from "../coordination/ports/mod.ts";
import { createError, type DispatchError } from "../state/errors/mod.ts";
import type { ChangeOutcome, ChangeRecord } from "../state/view/mod.ts";

/** Wait before a failed append or read is tried again, in milliseconds. */
const RETRY_DELAY_MS = 250;

export interface ChangePublisherOptions {
  log: LogService;
  follower: LogFollower;
  /** Time after which publishing gives up, in milliseconds. */
  timeoutMs: number;
}

/**
 * Publishes a change of the settings. The outcome comes from applying the log's
 * records, never from the reply to the append: the reply may be lost, and only
 * the order of the log decides between operators.
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
   * Publishes a change and gets what became of it. `log_unreachable` means that
   * it was not published, `publish_unknown` that it may stand or come to stand;
   * publishing it again with the same id settles that.
   */
  async publish(
    change: ChangeRecord,
  ): Promise<Result<ChangeOutcome, DispatchError>> {
    this.#deadline = performance.now() + this.#timeoutMs;
    let mayStand = false;
    for (;;) {
      // A record with this id may stand after a lost reply, or from an earlier
      // run of the command.
      const isRead = await this.#follower.readOnce();
      const known = this.#follower.view.getChangeOutcome(change.id);
      if (known !== undefined) {
        return ok(known);
      }
      if (isRead) {
        const appended = await this.#log.append(change);
        if (appended.isOk()) {
          return await this.#waitForOutcome(change.id, appended.value);
        }
        mayStand ||= appended.error.kind === "publish_unknown";
      }
      if (performance.now() > this.#deadline) {
        return err(createGiveUpError(change.id, mayStand));
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
      await this.#follower.readOnce();
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
    const message = `change ${id} stands at offset ${offset}, but the log ` +
      "can't be read to see whether it is accepted";
    return err(createError("publish_unknown", message));
  }
}

function createGiveUpError(id: string, mayStand: boolean): DispatchError {
  return mayStand
    ? createError(
      "publish_unknown",
      `change ${id} may stand; repeat the command with --change-id ${id} to find out`,
    )
    : createError(
      "log_unreachable",
      "the log can't be reached; nothing was published",
    );
}

function waitToRetry(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
}
