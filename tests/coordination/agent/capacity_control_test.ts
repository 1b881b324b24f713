import { expect } from "chai";
import {
  CapacityControl,
  CreditLedger,
} from "../../../src/coordination/agent/mod.ts";
import { createError, type ErrorKind } from "../../../src/state/errors/mod.ts";

function createControl(isReturning = false) {
  const state: { time: number; refusal: ErrorKind | undefined } = {
    time: 0,
    refusal: undefined,
  };
  const credits = new CreditLedger(8);
  let held = 0;
  const account = credits.addEntry("entry", {
    sendGrant: (count) => held += count,
    sendRevoke: (count) => {
      held -= count;
      queueMicrotask(() => credits.returnCredits(account, count));
    },
  });
  const control = new CapacityControl({
    credits,
    slots: 8,
    isReturning,
    usesCredits: () => true,
    getRefusal: () =>
      state.refusal === undefined ? undefined : createError(state.refusal, ""),
    getTime: () => state.time,
  });
  const apply = async (time: number, refusal?: ErrorKind) => {
    Object.assign(state, { time, refusal });
    control.apply();
    await Promise.resolve();
    return held;
  };
  return { apply };
}

describe("CapacityControl", () => {
  describe("apply", () => {
    it("withdraws the credits when the zone goes out of service and ramps up the slots when it returns", async () => {
      // Guards against placements in a zone that is out of service, and against
      // moving the whole queue to cold back ends when the zone returns.
      const { apply } = createControl();
      expect(await apply(0)).to.equal(8);
      expect(await apply(10, "zone_out")).to.equal(0);
      expect(await apply(1_000)).to.equal(4);
      expect(await apply(1_500)).to.equal(6);
      expect(await apply(2_000)).to.equal(8);
    });

    it("opens all slots at once after a stale view", async () => {
      // Guards against a ramp, and so lost capacity, after each pause of the
      // process or outage of the log.
      const { apply } = createControl();
      expect(await apply(0, "view_stale")).to.equal(0);
      expect(await apply(100)).to.equal(8);
    });

    it("ramps up the slots of an upstream that was a member before", async () => {
      expect(await createControl(true).apply(0)).to.equal(4);
    });
  });
});
