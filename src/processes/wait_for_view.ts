import type { ProcessContext } from "./process_context.ts";

/** Interval of the check, in milliseconds. */
const CHECK_INTERVAL_MS = 50;

/**
 * Time until the first warning about an unreachable log, in milliseconds.
 */
const FIRST_WARN_MS = 1_000;

/**
 * Time between two warnings about an unreachable log, in milliseconds.
 */
const WARN_INTERVAL_MS = 5_000;

/**
 * Waits until the view satisfies a condition. Logs a warning at an interval,
 * since a long wait means that the log can't be reached.
 * @param context - Context of the process.
 * @param isSatisfied - Checks the condition on the view.
 * @param options - `signal` ends the wait.
 */
export async function waitForView(
  context: ProcessContext,
  isSatisfied: () => boolean,
  options: { signal: AbortSignal },
): Promise<void> {
  let warnAt = performance.now() + FIRST_WARN_MS;
  while (!options.signal.aborted && !isSatisfied()) {
    await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
    if (performance.now() > warnAt) {
      warnAt = performance.now() + WARN_INTERVAL_MS;
      const { settings, logger } = context;
      logger.warn("waiting for the log service", {
        logAddress: settings.logAddress,
      });
    }
  }
}
