const TICK_MS = 5;

/**
 * Calls a function at a rate for some time, evenly spread.
 * @param perSecond - Calls in a second.
 * @param seconds - Time.
 * @param call - Gets the number of the call.
 */
export async function runAtRate(
  perSecond: number,
  seconds: number,
  options: { call: (count: number) => void },
): Promise<void> {
  const startedAt = performance.now();
  let count = 0;
  for (;;) {
    const elapsed = (performance.now() - startedAt) / 1_000;
    if (elapsed >= seconds) {
      return;
    }
    for (; count < elapsed * perSecond; count++) {
      options.call(count);
    }
    await new Promise((resolve) => setTimeout(resolve, TICK_MS));
  }
}
