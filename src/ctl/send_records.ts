import type { Member } from "../state/view/mod.ts";
import type { CtlContext } from "./ctl_context.ts";
import { sendRequest } from "./send_request.ts";

/** Maximum number of records in one request. */
const MAX_RECORDS = 500;

/**
 * Sends a process the log records that its view lacks. The log may become
 * unavailable right after it has accepted a change; without this, no process
 * would know of the change until the log is available again.
 * @param context - Context of the command, whose follower holds the records.
 * @param member - Member that the records are sent to.
 * @param offset - Offset of the process's view.
 */
export async function sendRecords(
  context: CtlContext,
  member: Member,
  offset: number,
): Promise<void> {
  const records = context.follower.getRecordsAfter(offset, MAX_RECORDS) ?? [];
  if (records.length > 0) {
    const body = Buffer.from(JSON.stringify({ records }));
    await sendRequest(member.httpAddress, "/v1/records", {
      method: "POST",
      body,
    });
  }
}
