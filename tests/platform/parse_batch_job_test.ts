import { expect } from "chai";
import { parseBatchJob } from "../../platform/parse_batch_job.ts";

const ID = "5c0e7a21d94b36f8";

function parse(body: unknown) {
  return parseBatchJob(ID, Buffer.from(JSON.stringify(body)));
}

describe("parseBatchJob", () => {
  it("parses steps, and fills in the fields that clients omit", () => {
    const job = parse({
      bestEffort: true,
      spec: "x",
      steps: [
        { count: 4, cpu: 500, memMb: 256, estMs: 900, affinity: "r1-3" },
        { count: 1, cpu: 2_000, constraints: "b", dependsOn: [0] },
        { count: 2, sameRack: true },
        { count: 1, sameRack: true },
      ],
    })._unsafeUnwrap();
    expect(job.steps[0]).to.deep.equal({
      count: 4,
      resources: { cpuMillis: 500, memoryMb: 256, gpus: 0 },
      expectedMs: 900,
      dependsOn: [],
      requiredLabel: undefined,
      preferredRack: "r1-3",
      sharesRack: false,
      maxPerWorker: Infinity,
    });
    expect(job.steps[1]).to.include({ requiredLabel: "b", expectedMs: 500 });
    // A single task is always on one rack.
    expect(job.steps.map(({ sharesRack }) => sharesRack))
      .to.deep.equal([false, false, true, false]);
  });

  it("reports the path of an invalid field", () => {
    const steps = [{ count: 0 }];
    const error = parse({ bestEffort: true, steps })._unsafeUnwrapErr();
    expect(error).to.include({ kind: "invalid_request" });
    expect(error.path).to.equal("steps.0.count");
  });

  it("rejects steps that depend on themselves or on later steps", () => {
    const steps = [{ count: 1, dependsOn: [0] }];
    const error = parse({ bestEffort: true, steps })._unsafeUnwrapErr();
    expect(error.path).to.equal("steps.0.dependsOn");
  });

  it("rejects jobs that must outlive their request, and tasks that must run together", () => {
    const steps = [{ count: 1 }];
    expect(parse({ steps })._unsafeUnwrapErr().kind).to.equal("no_capacity");
    const gang = [{ count: 2, gang: true }];
    expect(parse({ bestEffort: true, steps: gang })._unsafeUnwrapErr().kind)
      .to.equal("no_capacity");
  });

  it("reports a body that is not JSON", () => {
    expect(parseBatchJob(ID, Buffer.from("{")).isErr()).to.equal(true);
  });
});
