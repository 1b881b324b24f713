const TICK_MS = 5;

/**
 * Calls a function at a constant rate for some time.
 * @param perSecond - Calls per second.
 * @param seconds - Duration of the calls.
 * @param options - Contains the function, which gets the index of the call.
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
