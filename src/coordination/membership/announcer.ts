import type { ClusterView, Member } from "../../state/view/mod.ts";
import type { LogService } from "../ports/mod.ts";

/** Wait before a failed append is tried again, in milliseconds. */
const RETRY_DELAY_MS = 250;

export interface AnnouncerOptions {
  log: LogService;
  view: ClusterView;
}

/**
 * Writes this process's membership to the log. A lost reply is no problem: a
 * second record of the same content changes nothing, and the view tells whether
 * the first one stands.
 */
export class Announcer {
  readonly #log: LogService;
  readonly #view: ClusterView;

  constructor(options: AnnouncerOptions) {
    this.#log = options.log;
    this.#view = options.view;
  }

  /**
   * Announces a member until the record stands, and gets its offset; undefined
   * when the signal aborts.
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
   * Writes that a member is leaving or has left. Gives up when the signal
   * aborts.
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
