import { expect } from "chai";
import {
  CapacityTimeline,
  placeTasks,
  type PlaceTasksOptions,
  WaitForecast,
  type WorkerLoad,
} from "../../../src/state/batch/mod.ts";
import { createBatchStep } from "../../lib/create_batch_step.ts";
import { createWorkerLoad } from "../../lib/create_worker_load.ts";
import { TestRandom } from "../../lib/test_random.ts";

/** Places tasks by the full cost of each worker, without any bound. */
function placeBySearch(options: PlaceTasksOptions): string[] {
  const { step, loads, priority, indexes } = options;
  const { resources } = step;
  const candidates = loads.map((load) => ({
    load,
    runMs: step.expectedMs * load.slowdown * (1 + 3 * load.failureShare),
    timeline: new CapacityTimeline(load, { resources, priority }),
    tieBreaker: (options.getRandom as () => number)(),
    count: 0,
  }));
  return indexes.map((index) => {
    const open = candidates.filter(({ count }) => count < step.maxPerWorker);
    const avoided = options.avoidedAgents?.get(index);
    const preferred = open.filter(({ load }) => !avoided?.has(load.agentId));
    const getCost = ({ timeline, runMs }: typeof candidates[0]) =>
      5 * timeline.nextStartMs + runMs;
    const [best] = (preferred.length > 0 ? preferred : open).sort((a, b) =>
      Math.sign(getCost(a) - getCost(b)) || a.tieBreaker - b.tieBreaker
    );
    if (best === undefined) {
      return "none";
    }
    best.count++;
    best.timeline.reserve(best.runMs);
    return best.load.agentId;
  });
}

function createLoads(random: TestRandom): WorkerLoad[] {
  return Array.from({ length: random.getInt(1, 12) }, (_, n) => {
    const running = random.getInt(0, 8);
    const queued = random.getInt(0, 3) === 0 ? random.getInt(1, 6) : 0;
    return createWorkerLoad({
      agentId: `agent-${n}`,
      labels: [`r${n % 3}`],
      free: { cpuMillis: 2_000 * (8 - running), memoryMb: 9_999, gpus: 0 },
      ownSlotShare: 1 / random.getInt(1, 4),
      slotRoundingOffset: random.getInt(0, 9) / 10,
      // Few values, so that costs are often equal.
      slowdown: random.getInt(1, 2),
      failureShare: random.getInt(0, 1) / 4,
      runningLeftMs: Array.from(
        { length: running },
        () => 10 * random.getInt(0, 9),
      ),
      queuedRuns: [queued, 0, queued, 0],
      queuedMs: [queued * 50, 0, queued * 70, 0],
    });
  });
}

describe("placeTasks for tasks that name no rack", () => {
  it("places them as the search without bounds, with and without a forecast", () => {
    for (let seed = 0; seed < 500; seed++) {
      const random = new TestRandom(seed);
      const loads = createLoads(random);
      const options = {
        step: createBatchStep({ maxPerWorker: random.getInt(1, 9) }),
        indexes: Array.from({ length: random.getInt(1, 12) }, (_, n) => n),
        priority: random.getInt(0, 2),
        loads,
        avoidedAgents: new Map([[1, new Set(["agent-0", "agent-1"])]]),
        targetLeftMs: 100,
      };
      const createRandom = () => {
        const tieRandom = new TestRandom(seed);
        return () => tieRandom.getInt(0, 999) / 1_000;
      };
      const expected = placeBySearch({ ...options, getRandom: createRandom() })
        .filter((agentId) => agentId !== "none");
      for (const waitForecast of [undefined, new WaitForecast()]) {
        const placed = placeTasks({
          ...options,
          waitForecast,
          getRandom: createRandom(),
        });
        expect(placed.map(({ agentId }) => agentId), `seed ${seed}`)
          .to.deep.equal(expected);
      }
    }
  });
});
