import { expect } from "chai";
import {
  type PlacePolicy,
  type RackLoadOptions,
  simulateRackLoad,
} from "../../lib/simulate_rack_load.ts";

/** What may be chance between two policies. */
const TOLERANCE = 0.02;

const SEEDS = [7, 8];

const CASES = [
  { farFactor: 1.5, loadFactor: 1 },
  { farFactor: 3, loadFactor: 0.7 },
  // Most workers of the rack are away.
  { farFactor: 1.5, loadFactor: 0.8, hotWorkers: 2 },
];

/** Gets the shares in time, as means over the seeds. */
function play(
  policy: PlacePolicy,
  options: Omit<RackLoadOptions, "policy" | "hotShare" | "seed">,
): { urgent: number; all: number } {
  let urgent = 0;
  let all = 0;
  for (const seed of SEEDS) {
    const result = simulateRackLoad({
      ...{ policy, seed, hotShare: 0.65 },
      // Before the decision, far runs were a sign of a slow worker.
      learnsMean: policy === "fixed",
      ...options,
    });
    urgent += (result.inTime[0] ?? 0) / SEEDS.length;
    all += result.all / SEEDS.length;
  }
  console.log(
    `      ${policy}: urgent ${urgent.toFixed(3)}, all ${all.toFixed(3)}`,
  );
  return { urgent, all };
}

describe("urgent jobs of which 65% name one rack for some seconds", () => {
  for (const options of CASES) {
    it(`are served in time, ${JSON.stringify(options)}`, () => {
      const { urgent, all } = play("decided", options);
      for (const policy of ["fixed", "never", "always"] as const) {
        const other = play(policy, options);
        expect(urgent, policy).to.be.at.least(other.urgent - TOLERANCE);
        expect(all, policy).to.be.at.least(other.all - TOLERANCE);
      }
    });
  }
});
