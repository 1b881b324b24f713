/**
 * Scenarios in which the homes of a job, or the entries, are disrupted while the
 * job is claimed. They run on the model of `job_placement_model_test.ts`, each with
 * ten seeds. In most of them an entry reads the first request late, at about the
 * time at which a copy comes to the other entry.
 */
import "../../lib/compiled_hasher.ts";
import { expect } from "chai";
import type { ClaimHome } from "../../../src/coordination/batch/entry/claim_home.ts";
import { selectHomes } from "../../../src/coordination/batch/entry/select_homes.ts";
import { TestRandom } from "../../lib/test_random.ts";
import { getLongestOverlapMs } from "./model/get_longest_overlap_ms.ts";
import type { ModelOrder } from "./model/model_order.ts";
import type { ModelScenario } from "./model/model_scenario.ts";
import { MODEL_SIZE } from "./model/model_size.ts";
import { type Observation, observeScenario } from "./model/observe_scenario.ts";
import { runScenario } from "./model/run_scenario.ts";

/** Number of seeds with which each scenario is run. */
const SEEDS = 10;

/** The same for restarts of all processes with random links. */
const RESTART_SEEDS = 100;

/** Longest time of a test on a busy machine, in milliseconds. */
const TIMEOUT_MS = 120_000;

const AGENTS = Array.from({ length: MODEL_SIZE.agents }, (_, index) => index);

/** The agents that are the homes of the job. */
const HOMES = selectHomes(
  "0".padStart(16, "0"),
  AGENTS.map((index) => ({ agentId: `agent-${index}` }) as ClaimHome),
  2,
).map(({ agentId }) => Number(agentId.slice("agent-".length)));

const [FIRST_HOME, SECOND_HOME] = HOMES as [number, number];

const OTHERS = AGENTS.filter((agent) => !HOMES.includes(agent));

/** The homes before the other agents. */
const HOMES_AND_OTHERS = [...HOMES, ...OTHERS];

/** An order, with its time after the start in milliseconds. */
interface TimedOrder {
  atMs: number;
  order: ModelOrder;
}

/** A job that the two entries read at about the same time. */
const COPIES: readonly TimedOrder[] = [
  { atMs: 0, order: submit(0, 1_280) },
  { atMs: 0, order: submit(1) },
];

/** The same after time for other disruptions. */
const LATE_COPIES: readonly TimedOrder[] = [
  { atMs: 1_500, order: submit(0, 1_280) },
  { atMs: 1_500, order: submit(1) },
];

type Steps = { count: number; durationMs: number }[];

function createSteps(durationMs: number): Steps {
  return [{ count: 4, durationMs }];
}

function submit(entry: number, heldMs = 0): ModelOrder {
  return { kind: "submit", job: 0, entry, heldMs };
}

function cut(entry: number, agent: number, forMs: number): ModelOrder {
  return { kind: "cut", entry, agent, direction: "both", forMs };
}

function restartEntry(entry: number): ModelOrder {
  return { kind: "restart", process: entry, afterMs: 0 };
}

function restartAgent(agent: number, afterMs: number): ModelOrder {
  return { kind: "restart", process: MODEL_SIZE.entries + agent, afterMs };
}

/** Creates the same order for each of some agents. */
function each(
  agents: readonly number[],
  atMs: number,
  createOrder: (agent: number) => ModelOrder,
): TimedOrder[] {
  return agents.map((agent) => ({ atMs, order: createOrder(agent) }));
}

/** Cuts the homes off from each agent. */
function cutHomesFromAgents(forMs: number): TimedOrder[] {
  return HOMES.flatMap((from) =>
    each(HOMES_AND_OTHERS, 0, (to) => ({
      ...{ kind: "cut_agents", from, to, forMs },
    }))
  );
}

function createScenario(
  seed: number,
  steps: Steps,
  timedOrders: readonly TimedOrder[],
): ModelScenario {
  const sorted = timedOrders.toSorted((a, b) => a.atMs - b.atMs);
  const orders = sorted.map(({ atMs, order }, index) => ({
    afterMs: atMs - (sorted[index - 1]?.atMs ?? 0),
    order,
  }));
  return { seed, jobs: [{ steps }], orders };
}

/** Runs orders with each seed; gets the first problem of each one that has any. */
async function findProblems(
  steps: Steps,
  timedOrders: readonly TimedOrder[],
): Promise<string[]> {
  const problems: string[] = [];
  for (let seed = 0; seed < SEEDS; seed++) {
    try {
      await runScenario(createScenario(seed, steps, timedOrders));
    } catch (error) {
      const [firstLine] = (error as Error).message.split("\n");
      problems.push(`seed ${seed}: ${firstLine}`);
    }
  }
  return problems;
}

/** Runs orders with each seed until the clients have answers. */
async function observe(
  steps: Steps,
  timedOrders: readonly TimedOrder[],
): Promise<Observation[]> {
  const observations: Observation[] = [];
  for (let seed = 0; seed < SEEDS; seed++) {
    observations.push(
      await observeScenario(createScenario(seed, steps, timedOrders)),
    );
  }
  return observations;
}

/** Gets the problems of the seeds that have any. */
function formatProblems(observations: readonly Observation[]): string[] {
  return observations.flatMap(({ problems }, seed) =>
    problems.length === 0 ? [] : [`seed ${seed}: ${problems.join("; ")}`]
  );
}

function hasAnswer({ trace }: Observation, answer: string): boolean {
  return trace.split("\n").some((line) =>
    line.includes("job_answered") && line.includes(`"${answer}"`)
  );
}

/** Checks the time from the submission to the answer with each seed. */
function checkAnswerTimes(
  observations: readonly Observation[],
  { submittedAtMs, limitMs }: { submittedAtMs: number; limitMs: number },
): void {
  const times = observations.map(({ answeredAtMs }) =>
    Math.round(answeredAtMs - submittedAtMs)
  );
  expect(Math.max(...times), `${times.join(", ")} ms`).to.be.lessThan(limitMs);
}

/** Checks that no two runs of a task are executing at once with any seed. */
async function checkOverlaps(
  timedOrders: readonly TimedOrder[],
): Promise<void> {
  const observations = await observe(createSteps(4_000), timedOrders);
  const overlaps = observations.map(({ trace }) =>
    Math.round(getLongestOverlapMs(trace))
  );
  expect(Math.max(...overlaps), `${overlaps.join(", ")} ms`).to.equal(0);
}

describe("claims of a job that is read late at an entry without its homes", function () {
  this.timeout(TIMEOUT_MS);

  for (const durationMs of [1_286, 4_000]) {
    it(`never start a task of ${durationMs} ms twice`, async () => {
      // Guards against entries that each claim at homes that the other one doesn't ask.
      const problems = await findProblems(createSteps(durationMs), [
        ...each(HOMES, 0, (agent) => cut(0, agent, 9_000)),
        ...LATE_COPIES,
      ]);
      expect(problems).to.deep.equal([]);
    });
  }
});

describe("claims of a job that is read late at an entry with its homes", function () {
  this.timeout(TIMEOUT_MS);

  it("never start a task twice when both homes restart at that time", async () => {
    // Guards against homes that grant a claim again because they forgot the former one.
    const problems = await findProblems(createSteps(1_286), [
      { atMs: 0, order: submit(0, 1_285) },
      { atMs: 1, order: submit(1) },
      ...each(HOMES, 1_293, (agent) => restartAgent(agent, 300)),
    ]);
    expect(problems).to.deep.equal([]);
  });

  it("never start a task twice when a copy at the same entry waits for former runs", async () => {
    // Guards against a copy that releases the claim while former runs are being stopped.
    const problems = await findProblems(createSteps(4_000), [
      { atMs: 0, order: submit(0, 1_250) },
      ...each(OTHERS, 1_275, (agent) => cut(0, agent, 5_000)),
      { atMs: 1_290, order: { kind: "disconnect", job: 0 } },
      { atMs: 1_290, order: submit(0) },
      { atMs: 1_291, order: submit(1, 10) },
      ...each(OTHERS, 2_100, (agent) => ({
        ...{ kind: "suspend", process: MODEL_SIZE.entries + agent },
        ...{ forMs: 2_500, first: "timer" },
      })),
    ]);
    expect(problems).to.deep.equal([]);
  });
});

describe("runs of a job at two entries with broken links", function () {
  this.timeout(TIMEOUT_MS);

  it("never overlap when the late reader can't reach both homes", async () => {
    // Guards against a third and a fourth home that only one entry asks.
    await checkOverlaps([
      ...each(HOMES, 0, (agent) => cut(0, agent, 9_000)),
      ...LATE_COPIES,
    ]);
  });

  it("never overlap when the second entry's streams to both homes break", async () => {
    // Guards against a claim that is taken elsewhere for a short loss of the streams.
    await checkOverlaps([
      ...each(HOMES, 2_775, (agent) => ({ kind: "reset", entry: 1, agent })),
      ...LATE_COPIES,
    ]);
  });

  it("never overlap when each entry can't reach another one of the homes", async () => {
    // Guards against entries that take the grant of their only home for the last word.
    await checkOverlaps([
      ...HOMES.map((agent, entry) => ({
        atMs: 0,
        order: cut(entry, agent, 9_000),
      })),
      ...LATE_COPIES,
    ]);
  });
});

describe("runs of a job at two entries with restarts", function () {
  this.timeout(TIMEOUT_MS);

  it("never overlap when the second entry restarts and its links open late", async () => {
    // Guards against a claim at other homes before the homes of the job are connected.
    await checkOverlaps([
      { atMs: 2_000, order: restartEntry(1) },
      ...each(HOMES, 2_000, (agent) => cut(1, agent, 1_000)),
      ...LATE_COPIES,
    ]);
  });

  it("never overlap when one home restarts and the second entry can't reach the other", async () => {
    // Guards against a grant by a home that has forgotten the other entry's claim.
    await checkOverlaps([
      { atMs: 1_000, order: cut(1, SECOND_HOME, 9_000) },
      ...LATE_COPIES,
      { atMs: 2_787, order: restartAgent(FIRST_HOME, 0) },
    ]);
  });

  it("never overlap when both homes restart and the first entry is paused", async () => {
    // Guards against a paused entry that starts tasks on grants that are forgotten.
    await checkOverlaps([
      ...LATE_COPIES,
      ...each(HOMES, 2_791, (agent) => restartAgent(agent, 300)),
      {
        atMs: 2_787,
        order: { kind: "suspend", process: 0, forMs: 200, first: "input" },
      },
    ]);
  });
});

/** Bounds of the time until a link opens after a restart, in milliseconds. */
const LINK_OPENING_MS = { min: 200, max: 1_500 } as const;

/**
 * Restarts all processes, with links of the entries that open at random times, and has
 * the entries read copies of a job that is sent some time after the restart.
 */
function createRestartOfAll(seed: number, sentAtMs: number): ModelScenario {
  const random = new TestRandom(seed);
  const { min, max } = LINK_OPENING_MS;
  const entries = [0, 1];
  const links = entries.flatMap((entry) =>
    AGENTS.map((agent) => ({
      ...{ atMs: 0, order: cut(entry, agent, random.getInt(min, max)) },
    }))
  );
  return createScenario(seed, createSteps(4_000), [
    ...entries.map((entry) => ({ atMs: 0, order: restartEntry(entry) })),
    ...each(AGENTS, 0, (agent) => restartAgent(agent, 0)),
    ...links,
    { atMs: sentAtMs, order: submit(0, 1_285) },
    { atMs: sentAtMs, order: submit(1) },
  ]);
}

describe("runs of a job at two entries after the loss of all processes", function () {
  this.timeout(TIMEOUT_MS);

  for (const sentAtMs of [1, 150]) {
    it(`never overlap when their links open late and it is sent ${sentAtMs} ms after it`, async () => {
      // Guards against homes that depend on which links have opened when a copy is read.
      const overlaps: string[] = [];
      for (let seed = 0; seed < RESTART_SEEDS; seed++) {
        const scenario = createRestartOfAll(seed, sentAtMs);
        const { trace } = await observeScenario(scenario);
        const longestMs = Math.round(getLongestOverlapMs(trace));
        overlaps.push(...longestMs > 0 ? [`${seed}: ${longestMs} ms`] : []);
      }
      expect(overlaps).to.deep.equal([]);
    });
  }
});

describe("runs of a job at two entries after a second loss of all agents", function () {
  this.timeout(TIMEOUT_MS);

  const halves = { homes: [HOMES, OTHERS], "other agents": [OTHERS, HOMES] };
  for (const [name, [late, early]] of Object.entries(halves)) {
    for (const cutMs of [1_800, 9_000]) {
      it(`never overlap when the ${name} come back last and the first entry's streams open ${cutMs} ms late`, async () => {
        // Guards against homes that are replaced before the leases of lost runs have ended.
        await checkOverlaps([
          { atMs: 0, order: submit(0) },
          ...each(late as number[], 850, (agent) => restartAgent(agent, 1_500)),
          ...each(early as number[], 850, (agent) => restartAgent(agent, 50)),
          ...each(AGENTS, 850, (agent) => cut(0, agent, cutMs)),
          { atMs: 1_300, order: submit(1) },
        ]);
      });
    }
  }
});

/** Restarts the homes at about the time at which the copies are read. */
async function findRestartProblems(
  otherOrders: readonly TimedOrder[],
): Promise<string[]> {
  const problems: string[] = [];
  for (const atMs of [1_288, 1_291, 1_294, 1_297, 1_300, 1_303]) {
    for (const afterMs of [0, 300]) {
      const found = await findProblems(createSteps(1_286), [
        ...COPIES,
        ...each(HOMES, atMs, (agent) => restartAgent(agent, afterMs)),
        ...otherOrders,
      ]);
      problems.push(...found.map((text) => `${atMs}+${afterMs}: ${text}`));
    }
  }
  return problems;
}

describe("claims of a job whose homes forget them", function () {
  this.timeout(TIMEOUT_MS);

  it("never start a task twice when both restart", async () => {
    // Guards against the moments between a grant, the notices of it and the first runs.
    expect(await findRestartProblems([])).to.deep.equal([]);
  });

  it("never start a task twice when both restart and the first entry is paused", async () => {
    // Guards against an entry that starts tasks on grants from before its pause.
    const problems = await findRestartProblems([{
      atMs: 1_287,
      order: { kind: "suspend", process: 0, forMs: 200, first: "input" },
    }]);
    expect(problems).to.deep.equal([]);
  });

  it("never start a task twice when notices of them arrive after both homes restart", async () => {
    // Guards against agents that believe a delayed notice of a forgotten claim.
    const problems: string[] = [];
    for (const delayMs of [20, 40, 60, 100]) {
      const found = await findProblems(createSteps(1_286), [
        ...cutHomesFromAgents(1_290 + delayMs),
        ...COPIES,
        ...each(HOMES, 1_291, (agent) => restartAgent(agent, 300)),
      ]);
      problems.push(...found.map((text) => `${delayMs} ms: ${text}`));
    }
    expect(problems).to.deep.equal([]);
  });
});

describe("copies of a job that is read late", function () {
  this.timeout(TIMEOUT_MS);

  for (const [late, current] of [[0, 1], [1, 0]] as const) {
    for (const count of [4, 8]) {
      it(`never stop each other when entry-${late} reads ${count} tasks late`, async () => {
        // Guards against two entries that both give the job up.
        const failed: string[] = [];
        for (let heldMs = 1_240; heldMs <= 1_370; heldMs += 10) {
          const observations = await observe([{ count, durationMs: 600 }], [
            { atMs: 0, order: submit(late, heldMs) },
            { atMs: 0, order: submit(current) },
          ]);
          observations.forEach((observation, seed) => {
            if (!hasAnswer(observation, "completed")) {
              failed.push(`${heldMs} ms, seed ${seed}`);
            }
          });
        }
        expect(failed).to.deep.equal([]);
      });
    }
  }
});

describe("answers to a job whose first request is read late", function () {
  this.timeout(TIMEOUT_MS);

  for (const heldMs of [1_260, 1_290, 1_310, 1_330, 1_350, 1_360, 1_400]) {
    it(`are no refusals when the first request is read after ${heldMs} ms`, async () => {
      // Guards against the entry of the departed client that keeps the job.
      const observations = await observe(createSteps(600), [
        { atMs: 0, order: submit(0, heldMs) },
        { atMs: 0, order: submit(1) },
      ]);
      expect(formatProblems(observations)).to.deep.equal([]);
    });
  }
});

describe("answers to a job at an entry that comes back", function () {
  this.timeout(TIMEOUT_MS);

  it("are no refusals when the copy's entry was paused until it came", async () => {
    // Guards against a claim that the departed client's entry keeps.
    const observations = await observe(createSteps(1_800), [
      { atMs: 0, order: submit(0, 200) },
      {
        atMs: 1,
        order: { kind: "suspend", process: 1, forMs: 1_290, first: "timer" },
      },
      { atMs: 2, order: submit(1) },
    ]);
    expect(formatProblems(observations)).to.deep.equal([]);
  });

  it("never say that it did not run while the other entry runs it", async () => {
    // Guards against an entry that tells its client of a refusal when it gives a job up.
    const observations = await observe(createSteps(600), [
      { atMs: 0, order: submit(0, 1_400) },
      { atMs: 1_000, order: restartEntry(1) },
      { atMs: 1_000, order: cut(1, FIRST_HOME, 600) },
      { atMs: 1_000, order: submit(1) },
    ]);
    const refusedSeeds = observations.flatMap((observation, seed) =>
      hasAnswer(observation, "cancelled") &&
        observation.trace.includes("ends 0000000000000000.0.0.0: done")
        ? [seed]
        : []
    );
    expect(refusedSeeds).to.deep.equal([]);
  });
});

describe("answers to a job whose homes are hard to reach", function () {
  this.timeout(TIMEOUT_MS);

  const steps = createSteps(100);

  it("are not delayed when the homes can't reach the other agents", async () => {
    // Guards against a first run that waits for all notices.
    const observations = await observe(steps, [
      ...cutHomesFromAgents(5_000),
      { atMs: 100, order: submit(0) },
    ]);
    checkAnswerTimes(observations, { submittedAtMs: 100, limitMs: 500 });
  });

  it("are not delayed when one home is heard but hears nothing", async () => {
    // Guards against a claim that waits for a home because its messages still come.
    const observations = await observe(steps, [
      {
        atMs: 0,
        order: {
          ...{ kind: "cut", entry: 0, agent: FIRST_HOME },
          ...{ direction: "to_agent", forMs: 4_000 },
        },
      },
      { atMs: 100, order: submit(0) },
    ]);
    checkAnswerTimes(observations, { submittedAtMs: 100, limitMs: 1_500 });
  });

  for (const atMs of [300, 500, 650]) {
    it(`are not delayed after a cut of 2.5 s when the job comes ${atMs} ms into the cut`, async () => {
      // Guards against a job that is never claimed as no agent was in reach.
      const observations = await observe(steps, [
        ...each(HOMES_AND_OTHERS, 0, (agent) => cut(0, agent, 2_500)),
        { atMs, order: submit(0) },
      ]);
      checkAnswerTimes(observations, { submittedAtMs: 0, limitMs: 5_500 });
    });
  }
});
