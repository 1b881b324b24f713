import { expect } from "chai";
import fc from "fast-check";
import { JobBody } from "../../platform/job_body.ts";
import { parseWellFormedJob } from "../../platform/parse_well_formed_job.ts";

const FIELDS = [
  ...["count", "cpu", "memMb", "gpu", "estMs", "dependsOn", "constraints"],
  ...["affinity", "antiAffinity", "sameRack", "gang", "longRunning", "fills"],
  "other",
];

/** Values at the borders of what the fields accept, and of other types. */
const oddValue = fc.constantFrom<unknown>(
  ...[0, -0, 1, -1, 0.5, 10_000, 10_001, 2 ** 53, 1e308, Infinity],
  ...["", "x", true, false, null, [], [0], [-1], [0.5], ["0"], {}],
);

const step = fc.record({
  count: fc.integer({ min: 1, max: 10_000 }),
  cpu: fc.double({ min: 0, noNaN: true }),
  dependsOn: fc.array(fc.nat(3)),
  constraints: fc.string(),
  gang: fc.boolean(),
}, { requiredKeys: ["count"] });

/** A valid step of which up to two fields have any value. */
const oddStep = fc.tuple(
  step,
  fc.dictionary(fc.constantFrom(...FIELDS), oddValue, { maxKeys: 2 }),
).map(([valid, odd]) => ({ ...valid, ...odd }));

const body = fc.record({
  steps: fc.oneof(
    { weight: 9, arbitrary: fc.array(oddStep, { maxLength: 3 }) },
    oddValue,
  ),
  spec: fc.oneof(fc.string(), oddValue),
  bestEffort: fc.oneof(fc.boolean(), oddValue),
  times: oddValue,
}, { requiredKeys: [] });

describe("parseWellFormedJob", () => {
  it("accepts the values that the schema accepts, with the same result", () => {
    // Guards against a job that the two ways of parsing treat differently.
    fc.assert(
      fc.property(fc.oneof(body, oddValue, fc.jsonValue()), (value) => {
        const parsed = JobBody.safeParse(value);
        expect(parseWellFormedJob(value)).to.deep.equal(parsed.data);
      }),
      { numRuns: 3_000 },
    );
  });
});
