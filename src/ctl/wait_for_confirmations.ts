import { VIEW_LIMITS } from "../coordination/follower/mod.ts";
import type { MemberState } from "../state/view/mod.ts";
import type { CtlContext } from "./ctl_context.ts";
import { readProcessViews } from "./read_process_views.ts";
import { sendRecords } from "./send_records.ts";

/** Interval at which the members are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

export interface WaitForConfirmationsOptions {
  /** Log offset that the members are to confirm. */
  offset: number;
  /**
   * Maximum age of a view that a process may work with, in milliseconds. When
   * it has passed, no process works with a view from before the wait.
   */
  ageLimitMs?: number;
}

/**
 * Waits until every live member has confirmed a log offset, or until the view
 * age limit has passed since the call, which is made after the record at that
 * offset has been read from the log. Gets the ids of the members that didn't
 * confirm.
 */
export async function waitForConfirmations(
  context: CtlContext,
  options: WaitForConfirmationsOptions,
): Promise<string[]> {
  const { follower } = context;
  const { offset, ageLimitMs = VIEW_LIMITS.maxViewAgeMs } = options;
  const deadline = performance.now() + ageLimitMs;
  const confirmed = new Set<string>();
  for (;;) {
    // Members that have left or been removed meanwhile are not waited for.
    await follower.readToHead();
    const entries = follower.view.getMembers("entry");
    const agents = follower.view.getMembers("agent");
    const behind = await updateConfirmed(confirmed, {
      members: entries,
      offset,
    });
    await Promise.all(
      behind.map(([entry, reached]) => sendRecords(context, entry, reached)),
    );
    await updateConfirmed(confirmed, { members: agents, offset });
    const missing = [...entries, ...agents].map(({ id }) => id).filter((id) =>
      !confirmed.has(id)
    );
    if (missing.length === 0 || performance.now() > deadline) {
      return missing;
    }
    await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
  }
}

/**
 * Reads the views of the members that have not confirmed the offset yet, and
 * adds to `confirmed` those members and the others that they know from
 * heartbeats to have reached it. Gets the members whose view is behind, with
 * the offset of each.
 */
async function updateConfirmed(
  confirmed: Set<string>,
  options: { members: readonly MemberState[]; offset: number },
): Promise<[MemberState, number][]> {
  const { members, offset } = options;
  const views = await readProcessViews(
    members.filter(({ id }) => !confirmed.has(id)),
  );
  for (const [id, view] of views) {
    const known = Object.entries(view.confirmed);
    for (const [memberId, reached] of [[id, view.offset] as const, ...known]) {
      if (reached >= offset) {
        confirmed.add(memberId);
      }
    }
  }
  return members.flatMap((member) => {
    const reached = views.get(member.id)?.offset ?? offset;
    return reached < offset ? [[member, reached]] : [];
  });
}
