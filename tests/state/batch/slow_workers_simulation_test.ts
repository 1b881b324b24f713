import { expect } from "chai";
import {
  type RackLoadOptions,
  simulateRackLoad,
} from "../../lib/simulate_rack_load.ts";

const SEEDS = [7, 8];

/** What may be chance between two ways to learn. */
const TOLERANCE = 0.03;

/** Gets the share of urgent jobs in time, as a mean over the seeds. */
function play(options: Partial<RackLoadOptions>): number {
  let urgent = 0;
  for (const seed of SEEDS) {
    const result = simulateRackLoad({
      ...{ policy: "decided", farFactor: 1.5, hotShare: 0.25 },
      ...{ loadFactor: 0.6, seed },
      ...options,
    });
    urgent += (result.inTime[0] ?? 0) / SEEDS.length;
  }
  console.log(`      ${JSON.stringify(options)}: urgent ${urgent.toFixed(3)}`);
  return urgent;
}

describe("the learned speed of workers", () => {
  it("keeps urgent jobs away from a sixth of the workers that turn five times slower", () => {
    const mean = play({ slowFactor: 5, learnsMean: true });
    expect(play({ slowFactor: 5 })).to.be.above(mean + 0.1);
  });

  it("keeps sound workers in use when tasks take far longer than declared", () => {
    const options = { longShare: 0.03, declaredSpread: 1.6 };
    const mean = play({ ...options, learnsMean: true });
    expect(play(options)).to.be.at.least(mean - TOLERANCE);
  });
});
