import { expect } from "chai";
import { WorkerTrust } from "../../../src/state/batch/mod.ts";

describe("WorkerTrust", () => {
  it("pauses a worker that goes on refusing starts for longer and longer", () => {
    const trust = new WorkerTrust();
    const pausesMs: number[] = [];
    let now = 0;
    for (let n = 0; n < 5; n++) {
      // Starts that were sent together are refused together.
      [0, 1, 2].forEach((ms) => trust.recordRefusal(now + ms));
      const pausedAt = now;
      while (!trust.canStart(now)) {
        now += 100;
      }
      pausesMs.push(now - pausedAt);
    }
    expect(pausesMs).to.deep.equal([300, 600, 600, 600, 600]);
  });

  it("counts refused starts as failures until runs have completed their tasks", () => {
    const trust = new WorkerTrust();
    for (let n = 0; n < 8; n++) {
      trust.recordRefusal(n);
    }
    expect(trust.failureShare).to.be.above(0.8);
    for (let n = 0; n < 10; n++) {
      trust.recordEnd(false);
    }
    expect(trust.failureShare).to.be.below(0.1);
    trust.recordRefusal(10_000);
    expect(trust.canStart(10_299)).to.equal(false);
    expect(trust.canStart(10_300)).to.equal(true);
  });
});
