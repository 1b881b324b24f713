import { expect } from "chai";
import { AgentHealth } from "../../../../src/coordination/entry/placement/mod.ts";

function createHealth(agentIds: string[]) {
  const clock = { time: 0 };
  const health = new AgentHealth({
    getAgentIdsPerService: () => [agentIds],
    onChange: () => {},
    getTime: () => clock.time,
  });
  const fail = (id: string, count: number) => {
    for (let n = 0; n < count; n++) {
      health.recordFailure(id);
    }
  };
  return { clock, health, fail };
}

describe("AgentHealth", () => {
  describe("canProbe", () => {
    it("allows a task that isn't repeatable to probe only after a long time", () => {
      const { clock, health, fail } = createHealth(["a", "b"]);
      expect(health.canProbe("a", false)).to.equal(true);
      fail("a", 5);
      clock.time = 1_000;
      expect(health.canProbe("a", true)).to.equal(true);
      expect(health.canProbe("a", false)).to.equal(false);
      clock.time = 31_000;
      expect(health.canProbe("a", false)).to.equal(true);
    });
  });

  describe("canPlaceOn", () => {
    it("becomes false only after consecutive failures", () => {
      const { health, fail } = createHealth(["a", "b"]);
      fail("a", 4);
      health.recordSuccess("a");
      fail("a", 4);
      expect(health.canPlaceOn("a")).to.equal(true);
      fail("a", 1);
      expect(health.canPlaceOn("a")).to.equal(false);
    });

    it("allows one probe after a delay that doubles", () => {
      // Guards against a failing agent that gets a burst of tasks whenever its
      // ejection ends.
      const { clock, health, fail } = createHealth(["a", "b"]);
      fail("a", 5);
      clock.time = 1_000;
      expect(health.canPlaceOn("a")).to.equal(true);
      health.recordPlacement("a");
      expect(health.canPlaceOn("a")).to.equal(false);
      fail("a", 1);
      clock.time = 2_999;
      expect(health.canPlaceOn("a")).to.equal(false);
      clock.time = 3_000;
      health.recordPlacement("a");
      health.recordSuccess("a");
      expect(health.canPlaceOn("a")).to.equal(true);
    });

    it("allows another probe when the first one was refused", () => {
      // Guards against an agent that stays ejected because its probe never
      // ended.
      const { clock, health, fail } = createHealth(["a", "b"]);
      fail("a", 5);
      clock.time = 1_000;
      health.recordPlacement("a");
      health.recordNeutral("a");
      expect(health.canPlaceOn("a")).to.equal(true);
    });

    it("never ejects more than half of the agents of a service", () => {
      // Guards against tasks that fail everywhere and so make the whole service
      // unavailable.
      const { health, fail } = createHealth(["a", "b", "c", "d"]);
      ["a", "b", "c", "d"].forEach((id) => fail(id, 20));
      expect(["a", "b", "c", "d"].filter((id) => !health.canPlaceOn(id)))
        .to.deep.equal(["a", "b"]);
    });
  });
});
