import { expect } from "chai";
import { parseOperatorRecord } from "../../platform/parse_operator_record.ts";

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
      limits: { maxBodyBytes: 10 },
    });
    const change = parseOperatorRecord("config", value)._unsafeUnwrap();
    expect(change).to.deep.equal({
      kind: "config",
      config: {
        version: 7,
        maxBodyBytes: 10,
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
});
