/**
 * Reads the counters from the metrics of processes and gets the sum over the
 * processes by counter name with labels.
 * @param addresses - `host:port` of the HTTP server of each process.
 */
export async function readCounters(
  addresses: readonly string[],
): Promise<Map<string, number>> {
  const sums = new Map<string, number>();
  const texts = await Promise.all(
    addresses.map(async (address) =>
      await (await fetch(`http://${address}/metrics`)).text()
    ),
  );
  for (const line of texts.flatMap((text) => text.split("\n"))) {
    const match = /^(\S+_total(?:\{[^}]*\})?) (\S+)$/.exec(line);
    if (match !== null) {
      const [, name = "", value = ""] = match;
      sums.set(name, (sums.get(name) ?? 0) + Number(value));
    }
  }
  return sums;
}
