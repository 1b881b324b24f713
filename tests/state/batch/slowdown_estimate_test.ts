import { expect } from "chai";
import { SlowdownEstimate } from "../../../src/state/batch/mod.ts";

describe("SlowdownEstimate", () => {
  let now: number;
  let estimate: SlowdownEstimate;
  let jobs = 0;

  beforeEach(() => {
    now = 0;
    estimate = new SlowdownEstimate({ getTime: () => now });
    recordRuns(50, 100);
  });

  function recordRuns(count: number, runMs: number): void {
    for (let n = 0; n < count; n++) {
      estimate.record(`job-${jobs++}`, runMs, 100);
    }
  }

  it("does not distrust a worker for a job whose declared run time is too short", () => {
    for (let n = 0; n < 8; n++) {
      estimate.record("short", 300, 100);
    }
    expect(estimate.value).to.be.below(1.8);
  });

  it("learns the speed of a worker in some twenty runs", () => {
    recordRuns(20, 170);
    expect(estimate.value).to.be.within(1.4, 1.7);
  });

  it("distrusts a worker after three runs that take five times as long", () => {
    recordRuns(2, 500);
    expect(estimate.value).to.be.below(1.5);
    recordRuns(1, 500);
    expect(estimate.value).to.be.closeTo(5, 0.1);
  });

  it("does not distrust a worker for single tasks that take seven times as long", () => {
    let largest = 0;
    for (let n = 0; n < 300; n++) {
      recordRuns(1, n % 33 === 0 ? 700 : 100);
      largest = Math.max(largest, estimate.value);
    }
    expect(largest).to.be.below(1.3);
  });

  it("trusts a worker by degrees that gets no runs, and at once distrusts it again", () => {
    recordRuns(5, 500);
    now = 2_000;
    expect(estimate.value).to.be.within(2, 3.5);
    now = 20_000;
    expect(estimate.value).to.be.below(1.6);
    recordRuns(1, 500);
    expect(estimate.value).to.be.above(4);
  });
});
