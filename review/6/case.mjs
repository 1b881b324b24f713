/**
 * Channels between an entry and agents are reset while the workers are full of small tasks.
 * The entry starts tasks again whose first runs have not been stopped yet.
 */
import { runCase } from "../lib-2/run_case.mjs";
import { sleep } from "../lib-2/system.mjs";

const JOBS = 44;
const TASKS_PER_JOB = 32;
const TASK = { runMs: 7_000, cpu: 250 };
/** A stop is done, and answered, within the 50 ms of `stopTimeoutMs`. */
const STOP_MS = 45;
/** Of the eleven channels of the entry, 0.55 are reset. */
const RESET_COUNT = 6;

const steps = [{ count: TASKS_PER_JOB, cpu: TASK.cpu, memMb: 64, estMs: TASK.runMs }];

await runCase(import.meta.url, {
  entries: 3,
  agents: 11,
  worker: () => ({ cpu: 32_000, stopMs: STOP_MS, answersWhenStopped: true }),
  getTask: () => TASK,
}, async (system, hasTrouble) => {
  const [first] = system.entries;
  const answers = [];
  for (let n = 0; n < JOBS; n++) {
    const id = (0x5c0e7a21d9000000n + BigInt(n) * 0x10000n).toString(16);
    const { answer } = system.submit(first, id, { spec: "proof sheet", bestEffort: true, steps },
      { deadlineMs: 40_000 });
    answers.push(answer);
    await sleep(40);
  }
  await sleep(1_500);
  if (hasTrouble) {
    const reset = system.agents.slice(0, RESET_COUNT);
    system.record.add("network", `reset ${first.name} - ${reset.map(({ name }) => name)}`);
    reset.forEach(({ relay }) => relay.reset(first.name));
  }
  await Promise.race([Promise.all(answers), sleep(30_000)]);
  return system.findOverlaps().map(({ first: a, second: b }) =>
    `TWICE: ${a.task}: run ${a.run} on ${a.worker} from ${a.at} to ${a.endedAt} ms, ` +
    `run ${b.run} on ${b.worker} from ${b.at} ms`);
});
