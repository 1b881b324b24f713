import { expect } from "chai";
import { formatKeyedRecord } from "../../platform/format_keyed_record.ts";
import { parseKeyedRecords } from "../../platform/parse_keyed_records.ts";

const HEADER = Buffer.alloc(16);

describe("parseKeyedRecords", () => {
  it("parses keys and values, and counts the offsets", () => {
    const body = Buffer.concat([
      HEADER,
      formatKeyedRecord({ key: "a", value: "1" }),
      formatKeyedRecord({ key: "b", value: "" }),
    ]);
    expect(parseKeyedRecords(body, 5)._unsafeUnwrap()).to.deep.equal({
      records: [{ key: "a", value: "1" }, { key: "b", value: undefined }],
      end: 7,
    });
  });

  it("skips a record that can't be parsed, and counts its offset", () => {
    const bad = Buffer.from([0, 0, 0, 2, 200, 1]);
    const good = formatKeyedRecord({ key: "a", value: "1" });
    const page = parseKeyedRecords(Buffer.concat([HEADER, bad, good]), 0);
    expect(page._unsafeUnwrap()).to.deep.equal({
      records: [{ key: "a", value: "1" }],
      end: 2,
    });
  });

  it("stops before a truncated record", () => {
    const record = formatKeyedRecord({ key: "a", value: "123" });
    const truncated = record.subarray(0, record.length - 1);
    const page = parseKeyedRecords(Buffer.concat([HEADER, truncated]), 3);
    expect(page._unsafeUnwrap()).to.deep.equal({ records: [], end: 3 });
  });

  it("reports an answer without a header", () => {
    expect(parseKeyedRecords(Buffer.alloc(3), 0).isErr()).to.equal(true);
  });
});
