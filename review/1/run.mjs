/**
 * Kills single agents, which the platform restarts, while their workers run
 * tasks, and checks that no task runs twice at the same time.
 */
import { setTimeout as wait } from "node:timers/promises";
import { EXIT, HAS_TROUBLE, runCase } from "../lib/cluster.mjs";
import { findOverlaps } from "../lib/find_overlaps.mjs";

/** Kills, one agent at a time. */
const KILLS = 14;

/** Time between two kills; each agent is back long before the next one. */
const KILL_INTERVAL_MS = 5_000;

/** Delay after which the platform restarts a killed process. */
const RESTART_DELAY_MS = 200;

/** Jobs are sent at about the rate of `vector-raster` on the sheet. */
const JOB_INTERVAL_MS = 230;

await runCase(import.meta.url, async (cluster) => {
  await cluster.start({ entries: 1, agents: 7 });
  const [entry] = cluster.entries;
  const answers = [];
  const timer = setInterval(() => {
    const job = cluster.createJob({
      steps: [{ count: 4, estMs: 1_286 }],
      runMs: 1_286,
      // Three times the objective, until which a late answer has a worth.
      clientWaitMs: 3 * Math.round(1.6 * 1_286 + 60),
    });
    answers.push(cluster.submit(job, entry));
  }, JOB_INTERVAL_MS);
  for (let n = 0; n < KILLS; n++) {
    await wait(KILL_INTERVAL_MS);
    const agent = cluster.agents[n % cluster.agents.length];
    if (HAS_TROUBLE) {
      cluster.signal(agent, "SIGKILL");
      setTimeout(() => cluster.startProcess(agent), RESTART_DELAY_MS);
    }
  }
  await wait(KILL_INTERVAL_MS);
  clearInterval(timer);
  const results = await Promise.all(answers);
  const served = results.filter(({ status }) => status === 200).length;
  cluster.record(`${served} of ${results.length} jobs answered with 200`);
  if (served < results.length / 2) {
    return EXIT.couldNotRun;
  }
  const overlaps = findOverlaps(cluster.getRuns());
  for (const { first, second, overlapMs } of overlaps) {
    cluster.record(
      `TWICE: ${first.task} run ${first.run} on ${first.worker} (${first.how}) ` +
        `and run ${second.run} on ${second.worker} (${second.how}) at the same ` +
        `time for ${Math.round(overlapMs)} ms`,
    );
  }
  return overlaps.length > 0 ? EXIT.broken : EXIT.held;
});
