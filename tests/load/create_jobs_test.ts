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
    // Guards against comparing policies by runs with different arrivals.
    const jobs = createJobs({ scenario, shape, seed: 1 });
    expect(createJobs({ scenario, shape, seed: 1 })).to.deep.equal(jobs);
    expect(createJobs({ scenario, shape, seed: 2 })).to.not.deep.equal(jobs);
  });

  it("offers the stated load with valid jobs in order of arrival", () => {
    // Guards against seeds that offer different loads, and against jobs that an
    // entry rejects as malformed.
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

  it("makes arrivals more frequent during bursts", () => {
    // Guards against a burst scenario whose arrivals are spread evenly.
    const { everyMs, lengthMs, factor } = scenario.bursts as NonNullable<
      LoadScenario["bursts"]
    >;
    const jobs = [1, 2, 3, 4].flatMap((seed) =>
      createJobs({ scenario, shape, seed })
    );
    const inBursts =
      jobs.filter((job) => job.arrivalMs % everyMs < lengthMs).length;
    const burstRate = inBursts / lengthMs;
    const otherRate = (jobs.length - inBursts) / (everyMs - lengthMs);
    expect(burstRate / otherRate).to.be.within(factor / 2, factor * 2);
  });
});
