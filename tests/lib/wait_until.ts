import { setTimeout as wait } from "node:timers/promises";

/** Maximum time to wait for a condition, in milliseconds. */
const MAX_WAIT_MS = 5_000;

/**
 * Waits until a condition holds. Throws an error with the description if it
 * doesn't hold within 5 s.
 */
export async function waitUntil(
  condition: () => boolean,
  description: string,
): Promise<void> {
  const endMs = performance.now() + MAX_WAIT_MS;
  while (!condition()) {
    if (performance.now() > endMs) {
      throw new Error(`timed out waiting for ${description}`);
    }
    await wait(5);
  }
}
