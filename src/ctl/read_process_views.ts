import PQueue from "p-queue";
import type { Member } from "../state/view/mod.ts";
import { ProcessView } from "./process_view.ts";
import { sendRequest } from "./send_request.ts";

/** Maximum number of processes that are queried concurrently. */
const CONCURRENCY = 32;

/**
 * Reads the state of the views of members, by member id. A member that doesn't
 * answer, or whose process has been replaced by a later incarnation, is missing
 * from the result.
 */
export async function readProcessViews(
  members: readonly Member[],
): Promise<Map<string, ProcessView>> {
  const queue = new PQueue({ concurrency: CONCURRENCY });
  const views = new Map<string, ProcessView>();
  await queue.addAll(members.map((member) => async () => {
    const reply = await sendRequest(
      member.httpAddress,
      "/v1/view?brief=true",
    );
    const view = reply.isOk() ? parseView(reply.value.body) : undefined;
    if (view !== undefined && view.memberId === member.id) {
      views.set(member.id, view);
    }
  }));
  return views;
}

function parseView(body: Buffer): ProcessView | undefined {
  try {
    return ProcessView.safeParse(JSON.parse(body.toString("utf8"))).data;
  } catch {
    return undefined;
  }
}
