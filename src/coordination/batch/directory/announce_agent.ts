import { setTimeout as wait } from "node:timers/promises";
import type { EventLog, KeyedStore } from "../../ports/mod.ts";
import type { MemberRecord } from "./member_record.ts";

/** Delays after failed appends, in milliseconds. */
const RETRY_DELAY_MS = { first: 100, max: 1_000 } as const;

export interface AnnounceAgentOptions {
  store: KeyedStore;
  log: EventLog;
  member: MemberRecord;
  signal: AbortSignal;
}

/**
 * Announces an agent in the store; retries until this succeeds or the signal is
 * aborted.
 */
export async function announceAgent(
  options: AnnounceAgentOptions,
): Promise<void> {
  const { store, log, member, signal } = options;
  let retryMs: number = RETRY_DELAY_MS.first;
  while (!signal.aborted) {
    const value = JSON.stringify(member);
    const result = await store.append("members", { key: member.name, value });
    if (result.isOk()) {
      log.record("announced", { ...member });
      return;
    }
    log.record("announce_failed", { reason: result.error.message, retryMs });
    await wait(retryMs * (0.5 + Math.random()));
    retryMs = Math.min(RETRY_DELAY_MS.max, retryMs * 2);
  }
}
