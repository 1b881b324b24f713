import PQueue from "p-queue";
import * as z from "zod";
import type { CommandResult } from "./command_result.ts";
import type { CtlContext } from "./ctl_context.ts";
import { formatTable } from "./format_table.ts";
import { mergeEvents } from "./merge_events.ts";
import { sendRequest } from "./send_request.ts";
import type { SubmitFlags } from "./submit_flags.ts";

/** Maximum number of processes that are queried concurrently. */
const CONCURRENCY = 32;

const EventsResponse = z.object({
  events: z.array(z.object({
    clock: z.number(),
    timeMs: z.number(),
    memberId: z.string(),
    type: z.string(),
    key: z.string().optional(),
    index: z.number().optional(),
    attempt: z.number().optional(),
    detail: z.string().optional(),
  })),
});

/**
 * Reads the events of a submission from all processes and merges them.
 * @param context - Context of the command.
 * @param key - Idempotency key of the submission, without the customer.
 * @param flags - Options of the command.
 */
export async function readTimeline(
  context: CtlContext,
  key: string,
  flags: SubmitFlags,
): Promise<CommandResult> {
  const { view } = context.follower;
  const members = [...view.getMembers("entry"), ...view.getMembers("agent")];
  const queue = new PQueue({ concurrency: CONCURRENCY });
  const events: z.infer<typeof EventsResponse>["events"] = [];
  const unreachable: string[] = [];
  const scopedKey = encodeURIComponent(`${flags.customer}/${key}`);
  await queue.addAll(members.map(({ id, httpAddress }) => async () => {
    const reply = await sendRequest(httpAddress, `/v1/events?key=${scopedKey}`);
    const parsed = reply.isOk() ? parseEvents(reply.value.body) : undefined;
    if (parsed === undefined) {
      unreachable.push(id);
    } else {
      events.push(...parsed);
    }
  }));
  const rows = mergeEvents(events);
  const notes = [
    "events of processes that were killed or replaced, and the oldest events of busy ones, are missing",
    ...unreachable.map((id) => `no answer from ${id}; its events are missing`),
  ];
  const table = rows.length === 0
    ? `no process holds events of ${key}`
    : formatTable(rows);
  return {
    exitCode: rows.length === 0 ? 6 : 0,
    text: [table, "", ...notes.map((note) => `note: ${note}`)].join("\n"),
    value: { status: "ok", key, events: rows, unreachable, notes },
  };
}

function parseEvents(
  body: Buffer,
): z.infer<typeof EventsResponse>["events"] | undefined {
  try {
    return EventsResponse.safeParse(JSON.parse(body.toString("utf8"))).data
      ?.events;
  } catch {
    return undefined;
  }
}
