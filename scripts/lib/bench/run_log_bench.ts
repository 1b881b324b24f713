import { HttpLogService } from "../../../src/transport/log/mod.ts";
import { Cluster } from "../cluster.ts";
import { writeTable } from "./write_table.ts";
import { getPercentiles } from "../../../src/load/mod.ts";
import { runAtRate } from "./run_at_rate.ts";

/** Measures appends and reads at the log stand-in, at rates of target scale. */
export async function runLogBench(seconds: number): Promise<void> {
  const cluster = new Cluster({ entryZones: [], agentZones: [] });
  await cluster.start();
  const rows: { [column: string]: number }[] = [];
  try {
    const log = new HttpLogService(cluster.logAddress);
    for (
      const [appends, reads] of [[100, 0], [300, 0], [300, 500], [300, 1_000]]
    ) {
      const options = { appends: appends ?? 0, reads: reads ?? 0, seconds };
      rows.push(await measure(log, options));
    }
  } finally {
    await cluster.stop();
  }
  writeTable("log: appends and reads at the stand-in", rows);
}

async function measure(
  log: HttpLogService,
  options: { appends: number; reads: number; seconds: number },
): Promise<{ [column: string]: number }> {
  const { appends, reads, seconds } = options;
  const appendMs: number[] = [];
  const readMs: number[] = [];
  let refused = 0;
  let head = 0;
  const append = async (count: number) => {
    const sentAt = performance.now();
    const appended = await log.append({
      ...{ type: "leave", memberId: `none-${count}`, phase: "left" },
    });
    appendMs.push(performance.now() - sentAt);
    appended.isOk() ? head = appended.value : refused++;
  };
  const read = async () => {
    const sentAt = performance.now();
    await log.read(Math.max(1, head - 1), 500);
    readMs.push(performance.now() - sentAt);
  };
  await Promise.all([
    runAtRate(appends, seconds, { call: (count) => void append(count) }),
    runAtRate(reads, seconds, { call: () => void read() }),
  ]);
  await new Promise((resolve) => setTimeout(resolve, 500));
  const appended = getPercentiles(appendMs);
  const readTimes = getPercentiles(readMs);
  return {
    "appends/s": appends,
    "reads/s": reads,
    "appends done/s": appendMs.length / seconds,
    "reads done/s": readMs.length / seconds,
    refused,
    "append p50 ms": appended.p50,
    "append p99 ms": appended.p99,
    "read p50 ms": readTimes.p50,
    "read p99 ms": readTimes.p99,
  };
}
