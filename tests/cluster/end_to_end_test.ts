import { expect } from "chai";
import { Cluster } from "../../scripts/lib/cluster.ts";

describe("a job over HTTP", function () {
  this.timeout(60_000);
  const cluster = new Cluster({
    entryZones: ["a", "b"],
    agentZones: ["a", "b", "c"],
  });

  before(() => cluster.start());
  after(() => cluster.stop());

  it("serves a job, and gives a resubmission through another entry the same answer", async () => {
    // Guards against a resubmission that runs the job again.
    const submit = async (entry: number) => {
      const response = await fetch(
        `http://${cluster.entries[entry]?.httpAddress}/v1/jobs`,
        {
          method: "POST",
          headers: { "idempotency-key": "job-1" },
          body: JSON.stringify({
            service: "echo",
            tasks: Array.from(
              { length: 20 },
              (_, n) => ({ body: JSON.stringify({ runMs: 20, n }) }),
            ),
          }),
        },
      );
      return { status: response.status, text: await response.text() };
    };
    const [first, second] = await Promise.all([submit(0), submit(1)]);
    expect(first?.status).to.equal(200);
    expect(second).to.deep.equal(first);
    expect(await cluster.getTaskStarts()).to.have.length(20);
  });
});
