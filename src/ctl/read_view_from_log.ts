import { err, ok, type Result } from "neverthrow";
import { createError, type DispatchError } from "../state/errors/mod.ts";
import type { CtlContext } from "./ctl_context.ts";

/** Wait before a failed read is tried again, in milliseconds. */
const RETRY_DELAY_MS = 250;

/**
 * Reads the log up to its head, and tries again until the command's time is
 * over.
 */
export async function readViewFromLog(
  context: CtlContext,
): Promise<Result<void, DispatchError>> {
  const deadline = performance.now() + context.timeoutMs;
  while (!await context.follower.readOnce()) {
    if (performance.now() > deadline) {
      return err(createError("log_unreachable", "the log can't be read"));
    }
    await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
  }
  return ok(undefined);
}
