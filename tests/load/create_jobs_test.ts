import { expect } from "chai";
import {
  CLUSTER_SHAPES,
  createJobs,
  getCapacity,
  LOAD_SCENARIOS,
  type LoadScenario,
} from "../../src/load/mod.ts";

const scenario = LOAD_SCENARIOS["bursts"] as LoadScenario;
const shape = CLUSTER_SHAPES.groupement;

describe("createJobs", () => {
  it("creates the same jobs for the same seed only", () => {
    // Guards against comparisons of policies that run different arrivals.
    const jobs = createJobs({ scenario, shape, seed: 1 });
    expect(createJobs({ scenario, shape, seed: 1 })).to.deep.equal(jobs);
    expect(createJobs({ scenario, shape, seed: 2 })).to.not.deep.equal(jobs);
  });

  it("offers the stated load with valid jobs in order of arrival", () => {
    // Guards against seeds that offer different loads, and jobs that an entry
    // refuses as malformed.
    for (const seed of [1, 2, 3]) {
      const jobs = createJobs({ scenario, shape, seed });
      const work = jobs.flatMap((job) => job.runMs).reduce((a, b) => a + b, 0);
      const capacity = getCapacity(shape) * scenario.durationMs;
      expect(work / capacity).to.be.within(scenario.load, scenario.load * 1.2);
      jobs.forEach((job, position) => {
        expect(job.runMs.length).to.be.within(1, 150);
        expect(job.arrivalMs).to.be.within(
          jobs[position - 1]?.arrivalMs ?? 0,
          scenario.durationMs,
        );
      });
    }
  });

  it("puts more arrivals into the bursts", () => {
    // Guards against a burst scenario that has no bursts.
    const { everyMs, lengthMs, factor } = scenario.bursts as NonNullable<
      LoadScenario["bursts"]
    >;
    const jobs = [1, 2, 3, 4].flatMap((seed) =>
      createJobs({ scenario, shape, seed })
    );
    const inBursts =
      jobs.filter((job) => job.arrivalMs % everyMs < lengthMs).length;
    const rate = inBursts / lengthMs;
    const otherRate = (jobs.length - inBursts) / (everyMs - lengthMs);
    expect(rate / otherRate).to.be.within(factor / 2, factor * 2);
  });
});
