import { readdirSync, readFileSync } from "node:fs";

/** The resources that a process used during a measurement. */
export interface ProcessUsage {
  /** CPU time per second, in milliseconds. */
  readonly cpuMsPerSecond: number;
  /** Resident memory at the end, in MB. */
  readonly residentMb: number;
}

/** Measures the CPU time and the memory that a process uses during a call. */
export async function measureProcessUsage(
  pid: number,
  run: () => Promise<void>,
): Promise<ProcessUsage> {
  const cpuBefore = readCpuMs(pid);
  const startedAt = performance.now();
  await run();
  const seconds = (performance.now() - startedAt) / 1_000;
  return {
    cpuMsPerSecond: (readCpuMs(pid) - cpuBefore) / seconds,
    residentMb: readResidentMb(pid),
  };
}

/**
 * Reads the CPU time from the scheduler's counters, which have nanosecond
 * resolution; `stat` counts in steps of 10 ms.
 */
function readCpuMs(pid: number): number {
  let nanoseconds = 0;
  for (const thread of readdirSync(`/proc/${pid}/task`)) {
    const text = readFileSync(`/proc/${pid}/task/${thread}/schedstat`, "utf8");
    nanoseconds += Number(text.split(" ")[0]);
  }
  return nanoseconds / 1e6;
}

function readResidentMb(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+) kB/.exec(text)?.[1]) / 1_024;
}
