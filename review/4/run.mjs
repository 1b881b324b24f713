/**
 * Cancels a job whose tasks run, through the entry that runs it, and checks that
 * the submission isn't answered as rejected.
 */
import { setTimeout as wait } from "node:timers/promises";
import { EXIT, HAS_TROUBLE, runCase } from "../lib/cluster.mjs";

/** Jobs that are submitted, one after the other. */
const JOBS = 4;

/** Statuses that say that a job was not accepted and never runs. */
const REJECTED = [429, 503];

await runCase(import.meta.url, async (cluster) => {
  await cluster.start({ entries: 1, agents: 3 });
  const [entry] = cluster.entries;
  let violations = 0;
  for (let n = 0; n < JOBS; n++) {
    const job = cluster.createJob({
      steps: [{ count: 4, estMs: 1_286 }],
      runMs: 1_286,
      clientWaitMs: 3 * Math.round(1.6 * 1_286 + 60),
    });
    const posted = cluster.submit(job, entry);
    await wait(500);
    if (HAS_TROUBLE) {
      await cluster.cancel(job, entry);
    }
    const { status } = await posted;
    await wait(500);
    const started = cluster.getRuns().filter(({ task }) =>
      task.startsWith(job.id)
    );
    if (started.length === 0) {
      return EXIT.couldNotRun;
    }
    if (REJECTED.includes(status)) {
      violations++;
      cluster.record(
        `REFUSED: ${job.id} was rejected with ${status} at its only attempt, ` +
          `and ${started.length} of its tasks had started`,
      );
    }
  }
  return violations > 0 ? EXIT.broken : EXIT.held;
});
