import { parseJson } from "../../../state/errors/mod.ts";
import type { EventLog, KeyedPage } from "../../ports/mod.ts";
import { MemberRecord } from "../directory/mod.ts";
import type { BatchAgentLink } from "./batch_agent_link.ts";

export interface AgentRecordsOptions {
  log: EventLog;
  getLink: (name: string) => BatchAgentLink | undefined;
  /** Removes the link to an agent, and adds one to `member` if there is one. */
  replaceLink: (name: string, member: MemberRecord | undefined) => void;
}

/** Keeps the links of an entry as the records of the agents in the store say. */
export class AgentRecords {
  readonly #options: AgentRecordsOptions;
  /** Records of connected agents that state another address, or none. */
  readonly #pending = new Map<string, MemberRecord | undefined>();

  constructor(options: AgentRecordsOptions) {
    this.#options = options;
  }

  /** Applies the record that has waited for the end of an agent's stream. */
  handleStreamLost(name: string): void {
    if (this.#pending.has(name)) {
      this.#applyMember(name, this.#pending.get(name));
    }
  }

  /** Applies a page of records. */
  apply(page: KeyedPage): void {
    for (const { key, value } of page.records) {
      if (value === undefined) {
        this.#applyMember(key, undefined);
        continue;
      }
      const member = parseJson(MemberRecord, value, "invalid_request");
      if (member.isErr() || member.value.name !== key) {
        const reason = member.isErr()
          ? member.error.message
          : "name differs from the key";
        this.#options.log.record("record_unreadable", { key, reason });
        this.#requestAnnouncement(key);
        continue;
      }
      this.#applyMember(key, member.value);
    }
  }

  /**
   * Applies the record of an agent; undefined if its key was deleted. While the
   * agent is connected, its stream tells more than a record that another writer
   * may have left: the record applies when the stream is lost.
   */
  #applyMember(name: string, member: MemberRecord | undefined): void {
    this.#pending.delete(name);
    const link = this.#options.getLink(name);
    if (link !== undefined && link.address === member?.address) {
      return;
    }
    if (link?.hasStatus === true) {
      this.#pending.set(name, member);
      this.#requestAnnouncement(name);
      return;
    }
    this.#options.replaceLink(name, member);
  }

  #requestAnnouncement(name: string): void {
    const link = this.#options.getLink(name);
    if (link?.hasStatus === true) {
      this.#options.log.record("announcement_requested", { agent: name });
      link.requestAnnouncement();
    }
  }
}
