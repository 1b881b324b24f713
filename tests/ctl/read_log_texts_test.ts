import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { readLogTexts } from "../../src/ctl/read_log_texts.ts";

describe("readLogTexts", () => {
  let folder: string;

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "logs-"));
  });

  afterEach(() => rmSync(folder, { recursive: true }));

  it("reads files, and the files of folders but not of folders in them", () => {
    writeFileSync(join(folder, "b.log"), "b");
    writeFileSync(join(folder, "a.log"), "a");
    mkdirSync(join(folder, "old"));
    writeFileSync(join(folder, "old", "c.log"), "c");
    const paths = [folder, join(folder, "old", "c.log")];
    expect(readLogTexts(paths)._unsafeUnwrap()).to.deep.equal(["a", "b", "c"]);
  });

  it("names a path that can't be read", () => {
    const path = join(folder, "missing.log");
    const error = readLogTexts([folder, path])._unsafeUnwrapErr();
    expect(error).to.include({ kind: "invalid_request", path });
  });
});
