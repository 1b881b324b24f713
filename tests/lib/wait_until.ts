import { setTimeout as wait } from "node:timers/promises";

/** Longest wait for a condition, in milliseconds. */
const MAX_WAIT_MS = 5_000;

/** Waits until a condition holds, and fails when it does not in time. */
export async function waitUntil(
  condition: () => boolean,
  what: string,
): Promise<void> {
  const end = performance.now() + MAX_WAIT_MS;
  while (!condition()) {
    if (performance.now() > end) {
      throw new Error(`not in time: ${what}`);
    }
    await wait(5);
  }
}
