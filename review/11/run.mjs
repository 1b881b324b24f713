/**
 * An entry's machine freezes for a second while jobs of several steps run. The tasks of the
 * last step share a rack.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { setTimeout as wait } from "node:timers/promises";
import { call, createJobId } from "../kit-3/client.mjs";
import { findOverlaps } from "../kit-3/find_overlaps.mjs";
import { runCase } from "../kit-3/run_case.mjs";
import { HOST } from "../kit-3/site.mjs";

const JOBS = 16;
/** The pages allow one machine that carries traffic, for 4 s. */
const FREEZE = { afterMs: 100, forMs: 1_000 };
const STEPS = [
  { count: 1, cpu: 500, memMb: 64, estMs: 300 },
  { count: 12, cpu: 500, memMb: 64, estMs: 300 },
  { count: 4, cpu: 500, memMb: 64, estMs: 150, dependsOn: [0], sameRack: true },
];
const ROUTES = [
  { name: "q", host: HOST, pathPrefix: "/jobs/", attempts: 3, stretch: 1.6, targetLatencyMs: 60, priority: 0, timeoutMs: 1_500 },
];

async function play({ site, record, hasTrouble }) {
  const [entry] = site.entries;
  const jobs = Array.from({ length: JOBS }, () => playJob(site, record, entry));
  await wait(FREEZE.afterMs);
  if (hasTrouble) {
    record(`SIGSTOP ${entry.name}`);
    entry.program.signal("SIGSTOP");
  }
  await wait(FREEZE.forMs);
  if (hasTrouble) {
    record(`SIGCONT ${entry.name}`);
    entry.program.signal("SIGCONT");
  }
  await Promise.all(jobs);
  await wait(1_000);
  return findOverlaps(site.events).map(({ task, first, second, endAt }) =>
    `TWICE: task ${task}: run ${second.run} on ${second.worker} beside run ${first.run} on ` +
    `${first.worker}, for ${Math.round((endAt ?? performance.now()) - second.at)} ms`
  );
}

async function playJob(site, record, entry) {
  const id = createJobId();
  STEPS.forEach(({ count, cpu, memMb, estMs }, step) => {
    for (let index = 0; index < count; index++) {
      site.tasks.set(`${id}.0.${step}.${index}`, { cpu, memMb, runMs: estMs });
    }
  });
  const path = `/jobs/${id}`;
  record(`POST ${path} at ${entry.name}`);
  const { status, body, at } = await call(entry.front, {
    ...{ method: "POST", path, host: HOST, deadlineMs: 1_500 },
    body: { spec: `job ${id}`, steps: STEPS, bestEffort: true },
  });
  record(`POST ${path}: ${status} ${body}`, at);
}

await runCase(dirname(fileURLToPath(import.meta.url)), {
  site: { entries: 3, agents: 11, routes: ROUTES },
  play,
});
