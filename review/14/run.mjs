/**
 * An entry's machine freezes, and a worker crashes and returns as one of another kind before
 * the entry wakes.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { setTimeout as wait } from "node:timers/promises";
import { call, createChannel, createJobId } from "../kit-3/client.mjs";
import { runCase } from "../kit-3/run_case.mjs";
import { HOST } from "../kit-3/site.mjs";

const JOBS = 8;
/** The pages allow one machine that carries traffic, for 4 s. */
const FREEZE_MS = 3_600;
/** The pages allow a share of 0.14 of the workers, for 4.5 s. */
const CRASH = { afterMs: 300, forMs: 2_500 };
const STEP = { count: 4, cpu: 3_100, memMb: 64, estMs: 200, constraints: "b" };
const ROUTES = [
  { name: "q", host: HOST, pathPrefix: "/jobs/", attempts: 3, stretch: 1.6, targetLatencyMs: 60, priority: 0, timeoutMs: 1_500 },
];

async function play({ site, record, hasTrouble }) {
  const [entry] = site.entries;
  // Kinds in turn are a, a, b.
  const worker = site.workers[2];
  const channels = Array.from({ length: JOBS }, createChannel);
  await Promise.all(channels.map((channel) =>
    call(entry.front, { method: "GET", path: "/jobs/", host: HOST, channel })
  ));
  if (hasTrouble) {
    record(`SIGSTOP ${entry.name}`);
    entry.program.signal("SIGSTOP");
  }
  const jobs = channels.map((channel) => playJob(site, record, entry, channel));
  await wait(CRASH.afterMs);
  if (hasTrouble) {
    worker.crash();
  }
  await wait(CRASH.forMs);
  if (hasTrouble) {
    await worker.restart("a");
  }
  await wait(FREEZE_MS - CRASH.forMs - CRASH.afterMs);
  if (hasTrouble) {
    record(`SIGCONT ${entry.name}`);
    entry.program.signal("SIGCONT");
  }
  await Promise.all(jobs);
  channels.forEach((channel) => channel.destroy());
  return site.events
    .filter(({ kind, kindOfWorker }) => kind === "started" && kindOfWorker !== STEP.constraints)
    .map(({ worker, task, run, kindOfWorker }) =>
      `ROUTE: ${worker}, a worker of kind ${kindOfWorker}, was told to start ${task}, run ${run}, ` +
      `whose step has the constraint ${STEP.constraints}`
    );
}

async function playJob(site, record, entry, channel) {
  const id = createJobId();
  const { count, cpu, memMb, estMs } = STEP;
  for (let index = 0; index < count; index++) {
    site.tasks.set(`${id}.0.0.${index}`, { cpu, memMb, runMs: estMs });
  }
  const path = `/jobs/${id}`;
  record(`POST ${path} at ${entry.name}`);
  const { status, body, at } = await call(entry.front, {
    ...{ method: "POST", path, host: HOST, deadlineMs: 6_000, channel },
    body: { spec: `job ${id}`, steps: [STEP], bestEffort: true },
  });
  record(`POST ${path}: ${status} ${body}`, at);
}

await runCase(dirname(fileURLToPath(import.meta.url)), {
  site: { entries: 3, agents: 11, kinds: ["a", "a", "b"], routes: ROUTES },
  play,
});
