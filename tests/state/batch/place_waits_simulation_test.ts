import { expect } from "chai";
import {
  type PlacePolicy,
  type RackLoadOptions,
  simulateRackLoad,
} from "../../lib/simulate_rack_load.ts";

/** What may be chance between two policies. */
const TOLERANCE = 0.02;

const SEEDS = [7, 8];

/** Cases in which urgent jobs name one rack for some seconds. */
const RACK_CASES = [
  { farFactor: 1.5, loadFactor: 1 },
  { farFactor: 3, loadFactor: 0.7 },
  // Most workers of the rack are away.
  { farFactor: 1.5, loadFactor: 0.8, hotWorkers: 2 },
];

/** Cases in which the tasks of an urgent job share a rack. */
const GROUP_CASES = [
  { farFactor: 1.5, loadFactor: 1, workersPerRack: 2, groupTasks: 8 },
  { farFactor: 3, loadFactor: 0.7, workersPerRack: 2, groupTasks: 8 },
  // A rack has room for half of the group at a time.
  { farFactor: 1.5, loadFactor: 0.7, workersPerRack: 1, groupTasks: 16 },
];

/** Gets the shares in time, as means over the seeds. */
function play(
  policy: PlacePolicy,
  options: Omit<RackLoadOptions, "policy" | "seed">,
): { urgent: number; all: number } {
  let urgent = 0;
  let all = 0;
  for (const seed of SEEDS) {
    const result = simulateRackLoad({ policy, seed, ...options });
    urgent += (result.inTime[0] ?? 0) / SEEDS.length;
    all += result.all / SEEDS.length;
  }
  console.log(
    `      ${policy}: urgent ${urgent.toFixed(3)}, all ${all.toFixed(3)}`,
  );
  return { urgent, all };
}

function checkPolicies(options: Parameters<typeof play>[1]): void {
  const { urgent, all } = play("decided", options);
  for (const policy of ["fixed", "never", "always"] as const) {
    // Before the decision, far runs were a sign of a slow worker.
    const learnsMean = policy === "fixed" && options.hotShare > 0;
    const other = play(policy, { ...options, learnsMean });
    expect(urgent, policy).to.be.at.least(other.urgent - TOLERANCE);
    expect(all, policy).to.be.at.least(other.all - TOLERANCE);
  }
}

describe("urgent jobs of which 65% name one rack for some seconds", () => {
  for (const options of RACK_CASES) {
    it(`are served in time, ${JSON.stringify(options)}`, () =>
      checkPolicies({ hotShare: 0.65, ...options }));
  }
});

describe("urgent jobs whose tasks run faster on one rack", () => {
  for (const options of GROUP_CASES) {
    it(`are served in time, ${JSON.stringify(options)}`, () =>
      checkPolicies({ hotShare: 0, ...options }));
  }
});
