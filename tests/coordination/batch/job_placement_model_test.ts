/**
 * A model of entries, agents and workers on a simulated clock, in which random
 * disruptions happen at random times. `MODEL_SEED` and `MODEL_RUNS` set the seed
 * and the number of scenarios of a run by hand, `MODEL_SHRINK_S` the time for
 * finding a small counterexample. `MODEL_AGENTS` sets the number of agents, and
 * `MODEL_CUT_AGENTS`, with any value, adds disruptions that hold back what one agent
 * sends to another one.
 */
import "../../lib/compiled_hasher.ts";
import fc from "fast-check";
import {
  createScenarios,
  type CreateScenariosOptions,
} from "./model/create_scenarios.ts";
import type { ModelOrder } from "./model/model_order.ts";
import { runScenario } from "./model/run_scenario.ts";

const SEED = Number(process.env.MODEL_SEED ?? 41);

const RUNS = Number(process.env.MODEL_RUNS ?? 400);

const SHRINK_MS = Number(process.env.MODEL_SHRINK_S ?? 30) * 1_000;

/** Number of seeds with which each fixed scenario is run. */
const FIXED_SCENARIO_SEEDS = 10;

/** Time until a client sends its job again, in milliseconds. */
const RESEND_DELAY_MS = 1_300;

const FIRST = { kind: "submit", job: 0, entry: 0 } as const;

const SECOND = { kind: "submit", job: 0, entry: 1 } as const;

/** An order, with its time after the first submission in milliseconds. */
interface TimedOrder {
  atMs: number;
  order: ModelOrder;
}

/** Three of the four agents. */
const AGENT_PROCESSES = [2, 3, 4];

/** Runs a job that is sent to the second entry while something goes on. */
async function runResubmission(
  { steps, afterMs, orders }: {
    steps: { count: number; durationMs: number }[];
    /** Time from the first submission to the disruption, in milliseconds. */
    afterMs: number;
    orders: readonly ModelOrder[];
  },
): Promise<void> {
  for (let seed = 0; seed < FIXED_SCENARIO_SEEDS; seed++) {
    await runScenario({
      seed,
      jobs: [{ steps }],
      orders: [
        { afterMs: 0, order: FIRST },
        ...orders.map((order, index) => ({
          afterMs: index === 0 ? afterMs : 0,
          order,
        })),
        { afterMs: RESEND_DELAY_MS - afterMs, order: SECOND },
      ],
    });
  }
}

describe("placement of a job that is sent to another entry", () => {
  const steps = [{ count: 4, durationMs: 1_286 }];

  it("never overlaps when nothing else happens", async () => {
    // Guards against a model that finds overlaps without a cause.
    await runResubmission({ steps, afterMs: 0, orders: [] });
  });

  it("never overlaps when the first entry is suspended", async () => {
    // Guards against an entry that places tasks again after a pause.
    await runResubmission({
      steps,
      afterMs: 500,
      orders: [
        { kind: "suspend", process: 0, forMs: 1_000, first: "timer" },
      ],
    });
  });

  it("never overlaps when agents are suspended", async () => {
    // Guards against runs that are placed again at both entries.
    await runResubmission({
      steps,
      afterMs: 300,
      orders: AGENT_PROCESSES.map((agent) => ({
        ...{ kind: "suspend", process: agent, forMs: 1_500, first: "timer" },
      })),
    });
  });

  it("never overlaps when agents are restarted", async () => {
    // Guards against lost runs that the first entry places again by itself.
    await runResubmission({
      steps,
      afterMs: 300,
      orders: AGENT_PROCESSES.map((agent) => ({
        ...{ kind: "restart", process: agent, afterMs: 600 },
      })),
    });
  });

  it("never overlaps when an entry is suspended between two steps", async () => {
    // Guards against a job that no agent tells of, since it has no runs then.
    await runResubmission({
      steps: [{ count: 2, durationMs: 600 }, { count: 2, durationMs: 600 }],
      afterMs: 580,
      orders: [{ kind: "suspend", process: 0, forMs: 900, first: "timer" }],
    });
  });
});

describe("placement of a job whose homes are both disrupted", () => {
  const steps = [{ count: 4, durationMs: 1_286 }];
  // The agents that are the homes of the job.
  const homes = [1, 3];

  function create(
    atMs: number,
    createOrder: (agent: number) => ModelOrder,
  ): TimedOrder[] {
    return homes.map((agent) => ({ atMs, order: createOrder(agent) }));
  }

  /** Runs orders at given times after the first submission. */
  async function runOrders(timedOrders: readonly TimedOrder[]): Promise<void> {
    const sorted = timedOrders.toSorted((a, b) => a.atMs - b.atMs);
    const orders = sorted.map(({ atMs, order }, index) => ({
      afterMs: atMs - (sorted[index - 1]?.atMs ?? 0),
      order,
    }));
    for (let seed = 0; seed < FIXED_SCENARIO_SEEDS; seed++) {
      await runScenario({ seed, jobs: [{ steps }], orders });
    }
  }

  it("never overlaps when the first entry is cut off from both", async () => {
    // Guards against an expiry of the claim of an entry that lives and has other homes.
    await runOrders([
      { atMs: 0, order: FIRST },
      ...create(100, (agent) => ({
        ...{ kind: "cut", entry: 0, agent, direction: "both", forMs: 6_000 },
      })),
      { atMs: 1_500, order: SECOND },
    ]);
  });

  it("never overlaps when both are restarted before the entry reads their grants", async () => {
    // Guards against a first placement on grants that are no longer held.
    await runOrders([
      { atMs: 0, order: FIRST },
      {
        atMs: 1,
        order: { kind: "suspend", process: 0, forMs: 1_900, first: "timer" },
      },
      ...create(600, (agent) => ({
        ...{ kind: "restart", process: 2 + agent, afterMs: 300 },
      })),
      { atMs: RESEND_DELAY_MS, order: SECOND },
    ]);
  });

  it("never overlaps when both are paused while the second entry claims", async () => {
    // Guards against a claim at other homes while the first entry has proof of these.
    await runOrders([
      { atMs: 0, order: FIRST },
      { atMs: 700, order: { kind: "restart", process: 2, afterMs: 3_000 } },
      ...create(2_605, (agent) => ({
        ...{ kind: "suspend", process: 2 + agent, forMs: 300, first: "timer" },
      })),
      { atMs: 2_610, order: SECOND },
    ]);
  });
});

describe("placement of a job whose first request is read late", () => {
  const steps = [{ count: 4, durationMs: 1_286 }];

  for (const heldMs of [500, 1_250, 1_300, 1_350, 2_000]) {
    it(`never overlaps when the entry reads it after ${heldMs} ms`, async () => {
      for (let seed = 0; seed < FIXED_SCENARIO_SEEDS; seed++) {
        await runScenario({
          seed,
          jobs: [{ steps }],
          orders: [
            { afterMs: 0, order: { ...FIRST, heldMs } },
            { afterMs: 0, order: SECOND },
          ],
        });
      }
    });
  }

  it("never overlaps when it comes back to the first entry while an agent with a run is paused", async () => {
    // Guards against a release of the first submission's claim while its runs go on.
    for (let seed = 0; seed < FIXED_SCENARIO_SEEDS; seed++) {
      await runScenario({
        seed,
        jobs: [{ steps: [{ count: 4, durationMs: 2_722 }] }],
        orders: [
          { afterMs: 0, order: { ...FIRST, heldMs: 1_150 } },
          { afterMs: 0, order: { ...SECOND, heldMs: 858 } },
          { afterMs: 0, order: { ...FIRST, heldMs: 392 } },
          {
            afterMs: 2_150,
            order: {
              kind: "suspend",
              process: 4,
              forMs: 3_448,
              first: "timer",
            },
          },
        ],
      });
    }
  });
});

describe("placement of jobs under random disruptions", () => {
  it("never has two runs of a task at once, and answers each job", async () => {
    // Guards against processes that start a task on outdated knowledge.
    await checkRandomScenarios();
  }).timeout(0);

  it("never has two runs of a task at once when requests are read late", async () => {
    await checkRandomScenarios({ holdsRequests: true });
  }).timeout(0);

  async function checkRandomScenarios(
    options?: CreateScenariosOptions,
  ): Promise<void> {
    let shrinkUntil = Infinity;
    await fc.assert(
      fc.asyncProperty(createScenarios(options), async (scenario) => {
        if (performance.now() > shrinkUntil) {
          return;
        }
        try {
          await runScenario(scenario);
        } catch (error) {
          shrinkUntil = Math.min(shrinkUntil, performance.now() + SHRINK_MS);
          throw error;
        }
      }),
      { seed: SEED, numRuns: RUNS },
    );
  }
});
