/**
 * Kills all processes, which the platform restarts, and resets the channel of a
 * client whose job the restarted entry still holds back. The client sends the job
 * again. Checks that no task runs twice at the same time.
 */
import { setTimeout as wait } from "node:timers/promises";
import { EXIT, HAS_TROUBLE, runCase } from "../lib/cluster.mjs";
import { findOverlaps } from "../lib/find_overlaps.mjs";

/** Rounds, each with one loss of all processes. */
const ROUNDS = 5;

/** Delay after which the platform restarts a killed process. */
const RESTART_DELAY_MS = 500;

/** Jobs that are sent when an entry accepts connections again. */
const JOBS = 6;

/** Every second channel of the entry's clients is reset. */
const RESET_EVERY = 2;

/** Time after the submission at which channels are reset. */
const RESET_AFTER_MS = 400;

/** Time after which the client sends its job again (`retransmitMs`). */
const RETRANSMIT_MS = 1_300;

await runCase(import.meta.url, async (cluster) => {
  await cluster.start({ entries: 2, agents: 8 });
  const [first, second] = cluster.entries;
  const machines = [...cluster.entries, ...cluster.agents];
  const results = [];
  for (let round = 0; round < ROUNDS; round++) {
    if (HAS_TROUBLE) {
      machines.forEach((machine) => cluster.signal(machine, "SIGKILL"));
      await wait(RESTART_DELAY_MS);
      machines.forEach((machine) => cluster.startProcess(machine));
      await cluster.waitUntilListening(first);
    }
    for (let n = 0; n < JOBS; n++) {
      const isReset = HAS_TROUBLE && n % RESET_EVERY === 0;
      results.push(submitUntilAnswered(cluster, [first, second], isReset));
    }
    await wait(8_000);
  }
  const answers = await Promise.all(results);
  const served = answers.filter(({ status }) => status === 200).length;
  cluster.record(`${served} of ${answers.length} jobs answered with 200`);
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

/** Submits a job at one entry after the other until it is answered. */
async function submitUntilAnswered(cluster, entries, isReset) {
  const job = cluster.createJob({
    steps: [{ count: 4, estMs: 3_600 }],
    runMs: 3_600,
    clientWaitMs: 3 * Math.round(1.6 * 3_600 + 60),
  });
  let answer = await cluster.submit(job, entries[0], {
    resetAfterMs: isReset ? RESET_AFTER_MS : undefined,
  });
  if (answer.status === undefined) {
    await wait(RETRANSMIT_MS);
    answer = await cluster.submit(job, entries[1]);
  }
  return answer;
}
