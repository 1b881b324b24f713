/** Interval of the checks, and their maximum number. */
const POLLING = { intervalMs: 50, count: 600 } as const;

/**
 * Waits until a check returns true; a check that throws counts as failed.
 * @throws When the check has not passed within about 30 s.
 */
export async function waitFor(
  name: string,
  check: () => Promise<boolean> | boolean,
): Promise<void> {
  for (let tries = 0; tries < POLLING.count; tries++) {
    if (await Promise.resolve().then(check).catch(() => false)) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, POLLING.intervalMs));
  }
  throw new Error(`timed out while waiting for ${name}`);
}
