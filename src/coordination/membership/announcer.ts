import type { ClusterView, Member } from "../../state/view/mod.ts";
import type { LogService } from "../ports/mod.ts";

/** Delay before a failed append is retried, in milliseconds. */
const RETRY_DELAY_MS = 250;

export interface AnnouncerOptions {
  log: LogService;
  view: ClusterView;
}

/**
 * Appends the membership records of this process to the log. Retrying after a
 * lost reply is safe: a second record with the same content has no effect, and
 * the view shows whether the first one was appended.
 */
export class Announcer {
  readonly #log: LogService;
  readonly #view: ClusterView;

  constructor(options: AnnouncerOptions) {
    this.#log = options.log;
    this.#view = options.view;
  }

  /**
   * Announces a member, and retries until the record is appended. Returns the
   * record's log offset, or undefined if the signal aborts first.
   */
  async announce(
    member: Member,
    signal: AbortSignal,
  ): Promise<number | undefined> {
    while (!signal.aborted) {
      const appended = await this.#log.append({ type: "announce", member });
      if (appended.isOk()) {
        return appended.value;
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
    return undefined;
  }

  /**
   * Records that a member is leaving or has left. Retries until the record is
   * appended, the view no longer contains the member, or the signal aborts.
   */
  async leave(
    memberId: string,
    phase: "leaving" | "left",
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted && this.#view.getMember(memberId) !== undefined) {
      const appended = await this.#log.append({
        type: "leave",
        memberId,
        phase,
      });
      if (appended.isOk()) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }
}
