import { writeTable } from "./write_table.ts";
import { EntryBench } from "./entry_bench.ts";
import { getSlope } from "./get_slope.ts";
import { measureProcessUsage } from "./process_usage.ts";
import { runAtRate } from "./run_at_rate.ts";

const TASKS_PER_JOB = 20;

/** Tasks of the largest job; jobs of this size fill the queue. */
const MAX_TASKS_PER_JOB = 150;

type Row = {
  readonly agents: number;
  readonly "tasks/s": number;
  readonly "tasks per job": number;
  readonly "jobs answered": number;
  readonly "jobs failed": number;
  readonly "cpu ms/s": number;
  readonly "resident MB": number;
  readonly "received B/s": number;
  readonly "sent B/s": number;
};

/** Measures an entry with idle streams, running tasks and queued tasks. */
export async function runEntryBench(seconds: number): Promise<void> {
  const idle: Row[] = [];
  const busy: Row[] = [];
  const bench = new EntryBench();
  await bench.start();
  try {
    for (const agents of [10, 50, 100, 350]) {
      await bench.addAgentsUpTo(agents, 8);
      await sleep(2_000);
      idle.push(await measure(bench, { agents, seconds, rate: 0 }));
      for (const rate of [200, 800]) {
        busy.push(await measure(bench, { agents, seconds, rate }));
      }
      busy.push(
        await measure(bench, { agents, seconds, rate: 100, jobTasks: 1 }),
      );
    }
  } finally {
    await bench.stop();
  }
  writeTable("entry: idle streams to agents", idle);
  writeTable("entry: cost per agent stream (slopes)", [{
    "cpu ms/s": getSlope(idle.map((r) => [r.agents, r["cpu ms/s"]])),
    "resident MB": getSlope(idle.map((r) => [r.agents, r["resident MB"]])),
    "received B/s": getSlope(idle.map((r) => [r.agents, r["received B/s"]])),
    "sent B/s": getSlope(idle.map((r) => [r.agents, r["sent B/s"]])),
  }]);
  writeTable("entry: tasks", busy);
  writeTable("entry: cost per task, without the idle cost", [
    ...busy.map((row) => {
      const base = idle.find(({ agents }) => agents === row.agents);
      const cpu = row["cpu ms/s"] - (base?.["cpu ms/s"] ?? 0);
      const sent = row["sent B/s"] - (base?.["sent B/s"] ?? 0);
      const received = row["received B/s"] - (base?.["received B/s"] ?? 0);
      return {
        agents: row.agents,
        "tasks/s": row["tasks/s"],
        "tasks per job": row["tasks per job"],
        "cpu ms per task": cpu / row["tasks/s"],
        "sent B per task": sent / row["tasks/s"],
        "received B per task": received / row["tasks/s"],
      };
    }),
  ]);
  await measureQueuedTasks(seconds);
}

/**
 * Measures the cost of tasks that are queued because no agent grants credits,
 * for growing queue lengths.
 */
async function measureQueuedTasks(seconds: number): Promise<void> {
  const rows: { [column: string]: number }[] = [];
  const bench = new EntryBench();
  await bench.start();
  try {
    await bench.addAgentsUpTo(10, 0);
    await sleep(2_000);
    let queued = 0;
    for (const target of [0, 1_500, 6_000]) {
      const startedAt = performance.now();
      const fillUsage = await measureProcessUsage(bench.pid, async () => {
        for (let count = queued; count < target; count += MAX_TASKS_PER_JOB) {
          bench.sendJob(MAX_TASKS_PER_JOB, { deadlineMs: 600_000 });
        }
        await bench.waitForQueuedTasks(target);
      });
      const fillSeconds = (performance.now() - startedAt) / 1_000;
      await sleep(1_000);
      const idle = await measureProcessUsage(
        bench.pid,
        () => sleep(seconds * 1_000),
      );
      rows.push({
        "tasks queued": target,
        "cpu ms to queue a task": target === queued
          ? 0
          : fillUsage.cpuMsPerSecond * fillSeconds / (target - queued),
        "cpu ms/s while queued": idle.cpuMsPerSecond,
        "resident MB": idle.residentMb,
      });
      queued = target;
    }
  } finally {
    await bench.stop();
  }
  writeTable("entry: queued tasks, 10 agents without credits", rows);
}

async function measure(
  bench: EntryBench,
  options: { agents: number; seconds: number; rate: number; jobTasks?: number },
): Promise<Row> {
  const { agents, seconds, rate, jobTasks = TASKS_PER_JOB } = options;
  const before = {
    ...bench.streamBytes,
    answered: bench.answeredJobCount,
    failed: bench.failedJobCount,
  };
  const startedAt = performance.now();
  const call = () => bench.sendJob(jobTasks, { deadlineMs: 10_000 });
  const usage = await measureProcessUsage(
    bench.pid,
    () => runAtRate(rate / jobTasks, seconds, { call }),
  );
  const elapsed = (performance.now() - startedAt) / 1_000;
  const { received, sent } = bench.streamBytes;
  await sleep(500);
  return {
    agents,
    "tasks/s": rate,
    "tasks per job": jobTasks,
    "jobs answered": bench.answeredJobCount - before.answered,
    "jobs failed": bench.failedJobCount - before.failed,
    "cpu ms/s": usage.cpuMsPerSecond,
    "resident MB": usage.residentMb,
    "received B/s": (received - before.received) / elapsed,
    "sent B/s": (sent - before.sent) / elapsed,
  };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
