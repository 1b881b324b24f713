import { VIEW_LIMITS } from "../coordination/follower/mod.ts";
import type { MemberState } from "../state/view/mod.ts";
import type { CtlContext } from "./ctl_context.ts";
import { readProcessViews } from "./read_process_views.ts";
import { sendRecords } from "./send_records.ts";

/** Interval of the check, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

export interface WaitForConfirmationsOptions {
  offset: number;
  /**
   * Time after which no process may work under an older view, in milliseconds.
   */
  ageLimitMs?: number;
}

/**
 * Waits until every live member has confirmed an offset, or until the view age
 * limit has passed since the record was seen to stand. Gets the ids of the
 * members that didn't confirm.
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
    // Members that left or were removed since aren't waited for.
    await follower.readOnce();
    const entries = follower.view.getMembers("entry");
    const agents = follower.view.getMembers("agent");
    const behind = await addConfirmed(confirmed, { members: entries, offset });
    await Promise.all(
      behind.map(([entry, at]) => sendRecords(context, entry, at)),
    );
    await addConfirmed(confirmed, { members: agents, offset });
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
 * Asks the members that aren't confirmed yet, and takes what each knows of the
 * others by heartbeats. Gets the members whose view is behind, with its offset.
 */
async function addConfirmed(
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
