import type { AgentLink } from "../../../src/coordination/entry/agent_link.ts";
import { AgentBench } from "./agent_bench.ts";
import { writeTable } from "./write_table.ts";
import { getSlope } from "./get_slope.ts";
import { measureProcessUsage } from "./process_usage.ts";
import { runAtRate } from "./run_at_rate.ts";

/** Run time of a task; short, so that the slots are not the bottleneck. */
const RUN_MS = 5;

interface Measurement {
  readonly cpu: number;
  readonly mb: number;
  readonly received: number;
  readonly sent: number;
}

/** Measures an agent under heartbeats, log records, claims and tasks. */
export async function runAgentBench(seconds: number): Promise<void> {
  const bench = new AgentBench();
  await bench.start();
  try {
    await runStreams(bench, seconds);
    await runRecords(bench, seconds);
    await runClaims(bench, seconds);
    await runTasks(bench, seconds);
  } finally {
    await bench.stop();
  }
}

async function runStreams(bench: AgentBench, seconds: number): Promise<void> {
  const points: [number, Measurement][] = [];
  for (const streams of [0, 1, 4, 8]) {
    await bench.addLinksUpTo(streams);
    await sleep(2_000);
    points.push([streams, await measure(bench, () => sleep(seconds * 1_000))]);
  }
  writePoints("agent: idle streams (heartbeats)", "streams", points);
}

async function runRecords(bench: AgentBench, seconds: number): Promise<void> {
  const points: [number, Measurement][] = [];
  for (const rate of [0, 5, 20]) {
    const call = (count: number) => bench.appendChange(count);
    const run = () => runAtRate(rate, seconds, { call });
    points.push([rate, await measure(bench, run)]);
  }
  writePoints("agent: log records arriving, 8 streams", "records/s", points);
}

async function runClaims(bench: AgentBench, seconds: number): Promise<void> {
  const points: [number, Measurement][] = [];
  let callCount = 0;
  for (const rate of [0, 100, 400]) {
    const call = () => claimOnce(bench, callCount++);
    const run = () => runAtRate(rate, seconds, { call });
    points.push([rate, await measure(bench, run)]);
  }
  writePoints(
    "agent: claims as home, each completed with an answer of 200 bytes, 8 streams",
    "claims/s",
    points,
  );
}

function claimOnce(bench: AgentBench, count: number): void {
  const link = bench.links[count % bench.links.length] as AgentLink;
  const key = `bench/key-${count}`;
  link.claims.claim(key, "0123456789abcdef", {
    receive: (reply) => {
      if (reply?.outcome === "granted") {
        const body = new Uint8Array(200);
        const answer = { status: 200, contentType: "text/plain", body };
        void link.claims.complete(key, "0123456789abcdef", {
          ...answer,
          headers: {},
        });
      }
    },
  });
}

async function runTasks(bench: AgentBench, seconds: number): Promise<void> {
  const points: [number, Measurement][] = [];
  let callCount = 0;
  for (const rate of [0, 100, 400]) {
    const call = () => dispatchOnce(bench, callCount++);
    const run = () => runAtRate(rate, seconds, { call });
    points.push([rate, await measure(bench, run)]);
  }
  writePoints("agent: tasks run, 8 streams", "tasks/s", points);
}

function dispatchOnce(bench: AgentBench, count: number): void {
  const link = bench.links.find((link) => link.credits > 0);
  link?.dispatch({
    key: `bench/task-${count}`,
    index: 0,
    attempt: 1,
    service: "echo",
    body: new TextEncoder().encode(JSON.stringify({ runMs: RUN_MS })),
    timeoutMs: 10_000,
    repeatable: true,
    customer: "bench",
    onCredit: true,
  }, { onStreamBroken: () => {} });
}

async function measure(
  bench: AgentBench,
  run: () => Promise<void>,
): Promise<Measurement> {
  const before = bench.streamBytes;
  const startedAt = performance.now();
  const usage = await measureProcessUsage(bench.pid, run);
  const seconds = (performance.now() - startedAt) / 1_000;
  return {
    cpu: usage.cpuMsPerSecond,
    mb: usage.residentMb,
    received: (bench.streamBytes.received - before.received) / seconds,
    sent: (bench.streamBytes.sent - before.sent) / seconds,
  };
}

function writePoints(
  title: string,
  loadColumn: string,
  points: readonly (readonly [number, Measurement])[],
): void {
  const rows = points.map(([value, point]) => ({
    [loadColumn]: value,
    "cpu ms/s": point.cpu,
    "resident MB": point.mb,
    "received B/s": point.received,
    "sent B/s": point.sent,
  }));
  const getPoints = (name: keyof Measurement) =>
    points.map(([value, point]) => [value, point[name]] as const);
  writeTable(title, [...rows, {
    [loadColumn]: "slope",
    "cpu ms/s": getSlope(getPoints("cpu")),
    "resident MB": getSlope(getPoints("mb")),
    "received B/s": getSlope(getPoints("received")),
    "sent B/s": getSlope(getPoints("sent")),
  }]);
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
