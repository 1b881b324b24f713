/**
 * Demonstrates the system end to end with separate local processes: runs a job
 * of 150 tasks and a request that isn't repeatable, and prints the answers and
 * the timeline of the request.
 */
import type { TimelineEvent } from "../src/state/timeline/mod.ts";
import { Cluster } from "./lib/cluster.ts";

interface JobAnswer {
  status: string;
  answers: { index: number; status: number; digest: string; body: string }[];
}

const cluster = new Cluster({
  entryZones: ["a", "b"],
  agentZones: ["a", "a", "b", "b", "c", "c"],
  services: ["preview", "stamp"],
});
const startedAt = Date.now();
await cluster.start();
console.log(
  `cluster is ready after ${
    Date.now() - startedAt
  } ms: 2 entries, 6 agents, 3 zones`,
);
try {
  await runJob();
  await runRequest();
  await printTimeline();
} finally {
  await cluster.stop();
}
console.log("all processes have stopped");

async function runJob(): Promise<void> {
  const tasks = Array.from({ length: 150 }, (_, index) => ({
    body: JSON.stringify({ runMs: 50 + (index * 37) % 200, motif: index }),
    repeatable: true,
  }));
  const sentAt = Date.now();
  const response = await fetch(
    `http://${cluster.entries[0]?.httpAddress}/v1/jobs`,
    {
      method: "POST",
      headers: { "idempotency-key": "demo-job", "x-customer": "demo" },
      body: JSON.stringify({ service: "preview", tasks }),
    },
  );
  const answer = await response.json() as JobAnswer;
  console.log(
    `job: ${response.status} ${answer.status} after ${Date.now() - sentAt} ms`,
  );
  for (const { index, status, digest, body } of answer.answers) {
    console.log(`  task ${index}: ${status} ${digest} ${body}`);
  }
}

async function runRequest(): Promise<void> {
  const response = await fetch(
    `http://${cluster.entries[1]?.httpAddress}/v1/requests/stamp`,
    {
      method: "POST",
      headers: { "idempotency-key": "demo-stamp", "x-customer": "demo" },
      body: JSON.stringify({ runMs: 60, licence: 7 }),
    },
  );
  console.log(`request: ${response.status} ${await response.text()}`);
}

async function printTimeline(): Promise<void> {
  const events: TimelineEvent[] = [];
  for (const { httpAddress } of [...cluster.entries, ...cluster.agents]) {
    const response = await fetch(
      `http://${httpAddress}/v1/events?key=demo%2Fdemo-stamp`,
    );
    events.push(
      ...(await response.json() as { events: TimelineEvent[] }).events,
    );
  }
  events.sort((a, b) => a.clock - b.clock);
  console.log("timeline of the request:");
  for (const { clock, memberId, type, detail } of events) {
    console.log(`  ${clock} ${memberId} ${type} ${detail ?? ""}`);
  }
}
