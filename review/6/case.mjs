/**
 * Channels between an entry and agents are reset while some orders to the workers get no
 * answer and are carried out late. The entry starts tasks again whose first runs go on.
 */
import { runCase } from "../lib-2/run_case.mjs";
import { createRandom } from "../lib-2/random.mjs";
import { sleep } from "../lib-2/system.mjs";

const JOBS = 40;
const TASKS_PER_JOB = 8;
const TASK_MS = 6_000;
const LATE = { calls: ["run-start", "run-stop"], share: 0.5, forMs: 5_500 };
/** Of the eleven channels of the entry, 0.55 are reset. */
const RESET_COUNT = 6;

const random = createRandom(Number(process.env.SEED ?? 1));
const steps = [{ count: TASKS_PER_JOB, cpu: 1_000, memMb: 64, estMs: TASK_MS }];

await runCase(import.meta.url, {
  entries: 3,
  agents: 11,
  worker: () => ({ cpu: 32_000 }),
  getTask: () => ({ runMs: TASK_MS, cpu: 1_000 }),
}, async (system, hasTrouble) => {
  const [first] = system.entries;
  const workers = system.agents.map(({ worker }) => worker);
  const answers = [];
  for (let n = 0; n < JOBS; n++) {
    const id = (0x5c0e7a21d9000000n + BigInt(n) * 0x10000n).toString(16);
    const { answer } = system.submit(first, id, { spec: "proof sheet", bestEffort: true, steps },
      { deadlineMs: 30_000 });
    answers.push(answer);
    await sleep(20);
  }
  await sleep(1_500);
  if (hasTrouble) {
    system.record.add("workers", `a share ${LATE.share} of the orders is carried out late`);
    for (const worker of workers) worker.late = { ...LATE, random };
    await sleep(200);
    const reset = system.agents.slice(0, RESET_COUNT);
    system.record.add("network", `reset ${first.name} - ${reset.map(({ name }) => name)}`);
    reset.forEach(({ relay }) => relay.reset(first.name));
    await sleep(LATE.forMs - 200);
    system.record.add("workers", "all orders are answered again");
    for (const worker of workers) worker.late = undefined;
  }
  await Promise.race([Promise.all(answers), sleep(25_000)]);
  return system.findOverlaps().map(({ first: a, second: b }) =>
    `TWICE: ${a.task}: run ${a.run} on ${a.worker} from ${a.at} to ${a.endedAt} ms, ` +
    `run ${b.run} on ${b.worker} from ${b.at} ms`);
});
