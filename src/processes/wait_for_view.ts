import type { ProcessContext } from "./process_context.ts";

/** Interval of the check, in milliseconds. */
const CHECK_INTERVAL_MS = 50;

/** Time between two log lines about a log that can't be reached, in milliseconds. */
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
  let warnedAt = performance.now();
  while (!options.signal.aborted && !isReached()) {
    await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
    if (performance.now() - warnedAt > WARN_INTERVAL_MS) {
      warnedAt = performance.now();
      const { settings, logger } = context;
      logger.warn("waiting for the log service", {
        logAddress: settings.logAddress,
      });
    }
  }
}
