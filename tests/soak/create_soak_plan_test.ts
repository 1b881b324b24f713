import { expect } from "chai";
import { createSoakPlan } from "../../scripts/soak/create_soak_plan.ts";

describe("createSoakPlan", () => {
  const create = (seed: number) =>
    createSoakPlan({
      ...{ seed, lengthMs: 600_000, entries: 2, agents: 4 },
      zones: ["a", "b"],
    });

  it("creates the same faults for the same seed", () => {
    expect(create(7)).to.deep.equal(create(7));
    expect(create(7)).not.to.deep.equal(create(8));
  });

  it("creates every kind of fault, sorted by time, with some overlaps", () => {
    const plan = create(7);
    const kinds = new Set(plan.map(({ kind }) => kind));
    expect([...kinds].sort()).to.deep.equal([
      ...["burst", "config", "hup", "kill", "kill_all", "link", "pause"],
      ...["resend", "stop", "store", "store_history", "worker"],
      "worker_crash",
      ...["worker_drain", "worker_replaced", "zone_out"],
    ]);
    let overlaps = 0;
    plan.slice(1).forEach(({ atMs }, n) => {
      const before = plan[n];
      expect(atMs).to.be.at.least(before?.atMs ?? 0);
      overlaps += (before?.atMs ?? 0) + (before?.forMs ?? 0) > atMs ? 1 : 0;
    });
    expect(overlaps).to.be.greaterThan(plan.length / 4);
  });

  it("creates each disruption of jobs that are sent again, with and without a reset", () => {
    const kinds = create(7).flatMap((fault) =>
      fault.kind === "resend" ? `${fault.disruption} ${fault.isReset}` : []
    );
    expect(new Set(kinds)).to.have.property("size", 12);
  });
});
