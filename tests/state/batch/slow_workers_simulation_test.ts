import { expect } from "chai";
import { simulateRackLoad } from "../../lib/simulate_rack_load.ts";

describe("a sixth of the workers that turns five times slower for some seconds", () => {
  for (const longShare of [0, 0.03]) {
    it(`is avoided, also when ${100 * longShare}% of the tasks take long`, () => {
      const options = {
        ...{ policy: "decided", farFactor: 1.5, hotShare: 0.25 } as const,
        ...{ loadFactor: 0.6, slowFactor: 5, longShare, seed: 7 },
      };
      const mean = simulateRackLoad({ ...options, learnsMean: true });
      const decided = simulateRackLoad(options);
      console.log(`      ${JSON.stringify({ mean, decided })}`);
      expect(decided.inTime[0]).to.be.above((mean.inTime[0] ?? 0) + 0.05);
      expect(decided.all).to.be.above(mean.all);
    });
  }
});
