import { expect } from "chai";
import fc from "fast-check";
import { parseConfigBySchema } from "../../platform/parse_config_by_schema.ts";
import { parseOperatorRecord } from "../../platform/parse_operator_record.ts";
import { parseWellFormedConfig } from "../../platform/parse_well_formed_config.ts";

describe("parseOperatorRecord", () => {
  it("parses a configuration, and ignores unknown fields", () => {
    const value = JSON.stringify({
      version: 7,
      extra: true,
      routes: [{
        name: "r",
        host: "Nony.example",
        pathPrefix: "/a/",
        type: "non_idempotent",
        timeoutMs: 900,
        priority: 2,
        service: "s",
        attempts: 4,
        stretch: 1.6,
        targetLatencyMs: 60,
      }],
      limits: { maxBodyBytes: 10, headerTimeoutMs: 20, idleTimeoutMs: "odd" },
    });
    const change = parseOperatorRecord("config", value)._unsafeUnwrap();
    expect(change).to.deep.equal({
      kind: "config",
      config: {
        version: 7,
        maxBodyBytes: 10,
        requestLimits: { headerTimeoutMs: 20 },
        routes: [{
          name: "r",
          host: "nony.example",
          pathPrefix: "/a/",
          timeoutMs: 900,
          priority: 2,
          service: "s",
          maxAttempts: 4,
          stretch: 1.6,
          latencyTargetMs: 60,
          maxLateness: 4,
        }],
      },
    });
  });

  it("parses zones that go out of service and return to it", () => {
    expect(parseOperatorRecord("evacuate/a", "{}")._unsafeUnwrap())
      .to.deep.equal({ kind: "zone_out", zone: "a" });
    expect(parseOperatorRecord("evacuate/a", undefined)._unsafeUnwrap())
      .to.deep.equal({ kind: "zone_in", zone: "a" });
  });

  it("reports the path of an invalid field of a configuration", () => {
    const value = JSON.stringify({ version: "x", routes: [] });
    const error = parseOperatorRecord("config", value)._unsafeUnwrapErr();
    expect(error.path).to.equal("version");
    expect(parseOperatorRecord("config", "{").isErr()).to.equal(true);
  });

  it("ignores other records", () => {
    expect(parseOperatorRecord("wave/1", "{}")._unsafeUnwrap())
      .to.deep.equal({ kind: "other" });
  });

  it("does not need the schema for a well-formed configuration", () => {
    // Guards against a process that serves nothing while it checks a thousand routes.
    const value = {
      version: 1,
      routes: Array.from({ length: 1_000 }, (_, index) => ({
        name: `r-${index}`,
        host: "host.example",
        pathPrefix: `/prefix-${index}/`,
        service: "service",
        timeoutMs: 1_000 + index,
        priority: 1,
        attempts: 3,
        stretch: 1.5,
        targetLatencyMs: 100,
        comment: "of no concern to this process",
      })),
    };
    const config = parseWellFormedConfig(value);
    expect(config?.routes).to.have.length(1_000);
    expect(parseOperatorRecord("config", JSON.stringify(value))._unsafeUnwrap())
      .to.deep.equal({ kind: "config", config });
  });

  it("gives the same configuration as the schema, whatever the fields hold", () => {
    // Guards against a difference between the two ways to parse a configuration.
    const oddValue = fc.constantFrom<unknown>(
      ...[null, "", "A.Example", -1, 0, 1, 1.5, 1e999, 2 ** 60, true, [], {}],
    );
    const odd = { freq: 12, nil: undefined } as const;
    const orOdd = <T>(usual: fc.Arbitrary<T>) =>
      fc.oneof(
        { weight: 30, arbitrary: fc.option<unknown, undefined>(usual, odd) },
        { weight: 1, arbitrary: oddValue },
      );
    const text = orOdd(fc.constantFrom("a", "B.Example", "/c/"));
    const count = orOdd(fc.integer({ min: 1, max: 9 }));
    const route = fc.record({
      name: text,
      host: text,
      pathPrefix: text,
      service: text,
      timeoutMs: count,
      priority: count,
      attempts: count,
      stretch: count,
      targetLatencyMs: count,
    });
    const record = fc.record({
      version: count,
      routes: orOdd(fc.array(orOdd(route), { maxLength: 2 })),
      limits: orOdd(fc.record({
        maxBodyBytes: count,
        headerTimeoutMs: orOdd(fc.integer()),
      })),
    });
    let validCount = 0;
    fc.assert(
      fc.property(orOdd(record), (value) => {
        const json = JSON.stringify(value) ?? "null";
        const bySchema = parseConfigBySchema(json);
        const change = parseOperatorRecord("config", json);
        expect(change.isOk()).to.equal(bySchema.isOk());
        if (change.isOk() && bySchema.isOk()) {
          validCount++;
          const config = bySchema.value;
          expect(change.value).to.deep.equal({ kind: "config", config });
        }
      }),
      { numRuns: 2_000, seed: 1 },
    );
    expect(validCount).to.be.above(200);
  });
});
