import { expect } from "chai";
import {
  placeGroup,
  type PlaceGroupOptions,
  placeTasks,
  WaitForecast,
  type WorkerLoad,
} from "../../../src/state/batch/mod.ts";
import { createBatchStep } from "../../lib/create_batch_step.ts";
import { createWorkerLoad } from "../../lib/create_worker_load.ts";

const STEP = createBatchStep({ count: 4, sharesRack: true });

type Load = [agentId: string, rack: string, slots: number, leftMs?: number];

/** Creates a worker with room for some tasks now; its others end in `leftMs`. */
function createLoad([agentId, rack, slots, leftMs = 50]: Load): WorkerLoad {
  return createWorkerLoad({
    ...{ agentId, rack, labels: ["a", rack] },
    free: { cpuMillis: 2_000 * slots, memoryMb: 65_536, gpus: 0 },
    runningLeftMs: Array.from({ length: 8 - slots }, () => leftMs),
  });
}

function place(
  loads: Load[],
  changes: Partial<PlaceGroupOptions> = {},
): string {
  const placed = placeGroup({
    ...{ step: STEP, indexes: [0, 1, 2, 3], priority: 1, farFactor: 2 },
    ...{ waitForecast: new WaitForecast(), targetLeftMs: 180 },
    loads: loads.map(createLoad),
    ...changes,
  });
  const agents = placed.map(({ agentId }) => agentId).sort().join(" ");
  return `${placed[0]?.group?.kind}: ${agents}`;
}

describe("placeGroup", () => {
  it("keeps tasks together that fit on one rack, where placeTasks spreads them", () => {
    const loads: Load[] = [["a", "r1", 2], ["b", "r2", 3], ["c", "r2", 1]];
    expect(place(loads)).to.equal("together: b b b c");
    const spread = placeTasks({
      ...{ step: { ...STEP, maxPerWorker: 2 }, indexes: [0, 1, 2, 3] },
      ...{ priority: 1, loads: loads.map(createLoad) },
      getRandom: () => 0.5,
    });
    expect(spread.map(({ agentId }) => agentId).sort())
      .to.deep.equal(["a", "a", "b", "b"]);
  });

  it("waits on the rack where the last task ends first, if that is sooner", () => {
    expect(place([["a", "r1", 3, 90], ["b", "r2", 2, 40]]))
      .to.equal("wait: b b b b");
  });

  it("spreads tasks that would wait for longer than they then take", () => {
    // Two tasks after two others take 200 ms, and a spread one 150 ms.
    const loads: Load[] = [["a", "r1", 2, 150], ["b", "r2", 2, 150]];
    expect(place(loads, { farFactor: 1.5 })).to.equal("spread: a a b b");
  });

  it("takes earlier waits on a rack into account", () => {
    const waitForecast = new WaitForecast();
    for (let n = 0; n < 60; n++) {
      waitForecast.record("r2", 40, 200);
    }
    expect(place([["a", "r1", 2, 60], ["b", "r2", 2, 40]], { waitForecast }))
      .to.equal("wait: a a a a");
  });

  it("spreads tasks that no rack can hold", () => {
    const step = { ...STEP, maxPerWorker: 2 };
    expect(place([["a", "r1", 8], ["b", "r2", 8], ["c", "r3", 8]], { step }))
      .to.match(/^spread: /);
  });

  it("prefers the rack of the data, and another one to several", () => {
    const step = { ...STEP, preferredRack: "r2" };
    expect(place([["a", "r1", 8], ["b", "r2", 4]], { step })).to.equal(
      "together: b b b b",
    );
    // Two factors of 2 are longer than one.
    expect(place([["a", "r1", 4], ["b", "r2", 0, 900]], { step }))
      .to.equal("together: a a a a");
  });

  it("counts a worker whose rack isn't known as a rack of its own", () => {
    expect(place([["a", "", 2], ["b", "", 2], ["c", "", 4]]))
      .to.equal("together: c c c c");
  });

  describe("places a task again", () => {
    const indexes = [0];
    const racks = new Set(["r1"]);
    const placedGroup = { racks, leftMs: 60, totalLeftMs: 120 };

    it("on the rack of the others as long as that pays", () => {
      const changes = { indexes, placedGroup };
      expect(place([["a", "r1", 0, 80], ["b", "r2", 8]], changes))
        .to.equal("wait: a");
      expect(place([["a", "r1", 0, 900], ["b", "r2", 8]], changes))
        .to.equal("spread: b");
    });

    it("elsewhere when their rack has no worker any more", () => {
      expect(place([["b", "r2", 8]], { indexes, placedGroup }))
        .to.equal("spread: b");
    });

    it("anywhere when the others are on several racks", () => {
      const others = { ...placedGroup, racks: new Set(["r1", "r2"]) };
      const changes = { indexes, placedGroup: others };
      expect(place([["a", "r1", 0, 20], ["c", "r3", 8]], changes))
        .to.equal("spread: c");
    });

    it("at an agent that declined it, but not at one where it failed", () => {
      const avoidedAgents = new Map([[0, new Set(["a"])]]);
      const changes = { indexes, placedGroup, avoidedAgents };
      const loads: Load[] = [["a", "r1", 0, 20], ["b", "r2", 8]];
      expect(place(loads, changes)).to.equal("spread: b");
      expect(place(loads, { ...changes, declinedAgents: avoidedAgents }))
        .to.equal("wait: a");
    });
  });
});
