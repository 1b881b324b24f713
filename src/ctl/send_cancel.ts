import { createError } from "../state/errors/mod.ts";
import { createErrorResult } from "./create_error_result.ts";
import type { CommandResult } from "./command_result.ts";
import type { CtlContext } from "./ctl_context.ts";
import { sendRequest } from "./send_request.ts";
import type { SubmitFlags } from "./submit_flags.ts";

/**
 * Cancels a submission. Only the entry that runs it knows it, so the request is
 * sent to all entries.
 * @param context - Context of the command.
 * @param key - Idempotency key of the submission, without the customer.
 * @param flags - Options of the command.
 */
export async function sendCancel(
  context: CtlContext,
  key: string,
  flags: SubmitFlags,
): Promise<CommandResult> {
  const entries = context.follower.view.getMembers("entry");
  const replies = await Promise.all(entries.map(async (entry) => ({
    entry: entry.id,
    reply: await sendRequest(
      entry.httpAddress,
      `/v1/jobs/${encodeURIComponent(key)}`,
      { method: "DELETE", headers: { "x-customer": flags.customer } },
    ),
  })));
  const found = replies.find(({ reply }) =>
    reply.isOk() && reply.value.status === 202
  );
  if (found !== undefined) {
    return {
      exitCode: 0,
      text: `${found.entry} is cancelling ${key}`,
      value: { status: "cancelling", key, entry: found.entry },
    };
  }
  const unreachable = replies.filter(({ reply }) => reply.isErr()).map((
    { entry },
  ) => entry);
  const error = unreachable.length === 0
    ? createError("not_found", `no entry runs a submission with key ${key}`)
    : createError(
      "not_ready",
      `not found, but these entries didn't answer: ${unreachable.join(", ")}`,
    );
  return createErrorResult(error, { key, unreachable });
}
