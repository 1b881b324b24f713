import type { ProcessContext } from "./process_context.ts";

/** Interval of the check, in milliseconds. */
const CHECK_INTERVAL_MS = 50;

/**
 * Time until the first log line about a log that can't be reached, in
 * milliseconds.
 */
const FIRST_WARN_MS = 1_000;

/**
 * Time between two log lines about a log that can't be reached, in
 * milliseconds.
 */
const WARN_INTERVAL_MS = 5_000;

/**
 * Waits until the view holds what a process waits for.
 * @param context - The process.
 * @param isReached - Checks the view.
 * @param options - Stops the wait.
 */
export async function waitForView(
  context: ProcessContext,
  isReached: () => boolean,
  options: { signal: AbortSignal },
): Promise<void> {
  let warnAt = performance.now() + FIRST_WARN_MS;
  while (!options.signal.aborted && !isReached()) {
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
