import { err, ok, type Result } from "neverthrow";
import { createError, type DispatchError } from "../state/errors/mod.ts";
import type { CtlContext } from "./ctl_context.ts";

/** Delay before a failed read is retried, in milliseconds. */
const RETRY_DELAY_MS = 250;

/**
 * Reads the log up to its head into the command's view, and retries until the
 * command's time limit has passed. Fails with `log_unreachable`.
 */
export async function readViewFromLog(
  context: CtlContext,
): Promise<Result<void, DispatchError>> {
  const deadline = performance.now() + context.timeoutMs;
  while (!await context.follower.readToHead()) {
    if (performance.now() > deadline) {
      return err(createError("log_unreachable", "the log can't be read"));
    }
    await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
  }
  return ok(undefined);
}
