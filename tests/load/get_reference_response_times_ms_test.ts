import { expect } from "chai";
import fc from "fast-check";
import {
  getLowerBoundMs,
  getReferenceResponseTimesMs,
} from "../../src/load/mod.ts";

const shapes = fc.record({
  slots: fc.integer({ min: 1, max: 4 }),
  speeds: fc.array(fc.constantFrom(0.5, 0.75, 1, 1.5, 2), {
    minLength: 1,
    maxLength: 5,
  }),
  clientLatencyMs: fc.integer({ min: 0, max: 5 }),
});

const jobs = fc.array(
  fc.record({
    arrivalMs: fc.integer({ min: 0, max: 2_000 }),
    runMs: fc.array(fc.integer({ min: 1, max: 3_000 }), {
      minLength: 1,
      maxLength: 20,
    }),
  }),
  { maxLength: 20 },
).map((list) => list.sort((a, b) => a.arrivalMs - b.arrivalMs));

describe("getReferenceResponseTimesMs", () => {
  it("is never below the lower bound of a job", () => {
    // Guards against a lower bound that some scheduler can beat: ratios to it
    // would look better than they are.
    fc.assert(
      fc.property(shapes, jobs, (shape, list) => {
        getReferenceResponseTimesMs(list, shape).forEach((timeMs, position) => {
          const bound = getLowerBoundMs(list[position]?.runMs ?? [], shape);
          expect(timeMs).to.be.at.least(bound - 1e-6);
        });
      }),
      { seed: 20261204, numRuns: 500 },
    );
  });

  it("reaches the bound when one job fits the slots exactly", () => {
    // Guards against a reference schedule that leaves slots idle, which would
    // be too easy to beat.
    const shape = { slots: 2, speeds: [1, 2], clientLatencyMs: 3 };
    const list = [{ arrivalMs: 10, runMs: [200, 100, 200, 100] }];
    expect(getReferenceResponseTimesMs(list, shape)).to.deep.equal([106]);
    expect(getLowerBoundMs([200, 100, 200, 100], shape)).to.equal(106);
  });

  it("starts a job with less work before one that waits", () => {
    // Guards against a reference schedule in order of arrival, which would be
    // too easy to beat because short jobs wait behind long ones.
    const shape = { slots: 1, speeds: [1], clientLatencyMs: 0 };
    const list = [
      { arrivalMs: 0, runMs: [100, 100] },
      { arrivalMs: 50, runMs: [10] },
    ];
    expect(getReferenceResponseTimesMs(list, shape)).to.deep.equal([210, 60]);
  });
});
