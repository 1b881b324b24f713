import { expect } from "chai";
import { parseWorkerReport } from "../../platform/parse_worker_report.ts";

const CAPACITY = { cpu: 16_000, memMb: 32_768, gpu: 0 };

const REPORT = {
  service: "s",
  addr: "10.128.0.9:8080",
  zone: "a",
  version: "v1",
  slots: 8,
  state: "ready",
  coldLeftMs: 0,
  capacity: CAPACITY,
  labels: ["a", "r1-3"],
  clockMs: 482_113,
  born: 1_790_000_000_000,
  seq: 4,
};

/** Values that are of no field's type. */
const ODD_VALUES = [null, true, {}];

/** Values that are odd for a field; `undefined` leaves the field out. */
const ODD_VALUES_BY_FIELD: Readonly<Record<string, readonly unknown[]>> = {
  service: [undefined, 5],
  addr: [undefined, 5],
  zone: [undefined, 5],
  version: [undefined, 5],
  slots: [undefined, "8", -1],
  state: [undefined, "odd", 5],
  coldLeftMs: [undefined, "0", -1],
  seq: [undefined, "4", -1, 1.5, 1e300],
  born: [undefined, "5", -1, 1.5, 1e300],
  clockMs: ["5", -1],
  remainingMs: ["5", -1],
  labels: [undefined, "a", [5], [null]],
  capacity: [
    undefined,
    "much",
    ...Object.keys(CAPACITY).flatMap((field) =>
      [undefined, null, "5", -1].map((value) => ({
        ...CAPACITY,
        [field]: value,
      }))
    ),
  ],
};

function isReadable(body: string): boolean {
  return parseWorkerReport("w-1", Buffer.from(body)).isOk();
}

describe("parseWorkerReport", () => {
  for (const [field, values] of Object.entries(ODD_VALUES_BY_FIELD)) {
    it(`rejects a report whose ${field} is missing or odd`, () => {
      for (const value of [...values, ...ODD_VALUES]) {
        const body = JSON.stringify({ ...REPORT, [field]: value });
        expect(isReadable(body), body).to.equal(false);
      }
    });
  }

  it("rejects numbers that are too large for a double, and what isn't JSON", () => {
    const body = JSON.stringify(REPORT);
    for (const field of ["slots", "coldLeftMs", "clockMs", "born", "seq"]) {
      const odd = body.replace(new RegExp(`("${field}":)\\d+`), "$11e400");
      expect(odd).to.contain("1e400");
      expect(isReadable(odd), odd).to.equal(false);
    }
    for (const odd of ["", "\u0000{", "[]", "5", "null", body.slice(0, -1)]) {
      expect(isReadable(odd), odd).to.equal(false);
    }
  });

  it("accepts unknown fields, and a report without the optional ones", () => {
    expect(isReadable(JSON.stringify({ ...REPORT, rank: { a: 1 } }))).to.equal(
      true,
    );
    expect(isReadable(JSON.stringify({ ...REPORT, clockMs: undefined })))
      .to.equal(true);
    const draining = { ...REPORT, state: "draining", remainingMs: 20_000 };
    expect(
      parseWorkerReport("w-1", Buffer.from(JSON.stringify(draining)))
        ._unsafeUnwrap(),
    ).to.deep.equal({
      workerId: "w-1",
      bornAtMs: REPORT.born,
      sequence: 4,
      service: "s",
      zone: "a",
      isDraining: true,
      remainingMs: 20_000,
      capacity: { cpuMillis: 16_000, memoryMb: 32_768, gpus: 0 },
      labels: ["a", "r1-3"],
      rack: "r1-3",
    });
  });
});
