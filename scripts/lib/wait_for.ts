/** Interval of the checks, in milliseconds, and their number. */
const CHECKS = { intervalMs: 50, count: 600 } as const;

/** Waits until a check passes; an error counts as not yet. */
export async function waitFor(
  name: string,
  check: () => Promise<boolean> | boolean,
): Promise<void> {
  for (let tries = 0; tries < CHECKS.count; tries++) {
    if (await Promise.resolve().then(check).catch(() => false)) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, CHECKS.intervalMs));
  }
  throw new Error(`the cluster isn't ready in time; waiting for ${name}`);
}
