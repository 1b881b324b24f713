import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import { createError, type DispatchError } from "../state/errors/mod.ts";
import type { CtlContext } from "./ctl_context.ts";
import { sendRequest } from "./send_request.ts";

const ViewResponse = z.object({
  offset: z.int(),
  revision: z.int(),
  epoch: z.int(),
  settings: z.unknown(),
  members: z.unknown(),
});

/**
 * Reads the view of a process instead of the log's records, for use while the
 * log is unavailable. The view lacks the revisions of single paths and the
 * outcomes of changes, by which conflicting changes are rejected, so it can't
 * be used for publishing.
 */
export async function readViewFromProcess(
  context: CtlContext,
  address: string,
): Promise<Result<void, DispatchError>> {
  const reply = await sendRequest(address, "/v1/view");
  if (reply.isErr()) {
    return err(reply.error);
  }
  const body = parseBody(reply.value.body);
  const events = body === undefined ? undefined : context.follower.view
    .restoreSnapshot({
      offset: body.offset,
      settings: {
        tree: body.settings,
        revision: body.revision,
        pathRevisions: {},
        outcomes: [],
      },
      members: { members: body.members, epoch: body.epoch, suspicions: [] },
    });
  return events === undefined
    ? err(createError("invalid_request", `${address} doesn't serve a view`))
    : ok(undefined);
}

function parseBody(body: Buffer): z.infer<typeof ViewResponse> | undefined {
  try {
    return ViewResponse.safeParse(JSON.parse(body.toString("utf8"))).data;
  } catch {
    return undefined;
  }
}
