import { expect } from "chai";
import { readFileSync } from "node:fs";
import { CtlSettings } from "../../src/ctl/ctl_settings.ts";
import { parseJob } from "../../src/protocol/http/mod.ts";
import { ERROR_RESPONSES } from "../../src/state/errors/mod.ts";
import { parseProcessSettings } from "../../src/state/process_settings/mod.ts";
import { checkSettings } from "../../src/state/settings/mod.ts";
import { applyEdits } from "../../src/state/view/mod.ts";

function readDoc(name: string): string {
  return readFileSync(
    new URL(`../../../docs/${name}`, import.meta.url),
    "utf8",
  );
}

describe("the operators' page", () => {
  it("lists every error kind with its status and outcome", () => {
    // Guards against an error kind that the page doesn't list, or lists with a
    // wrong status or outcome.
    const page = readDoc("operators.md");
    for (const [kind, { status, outcome }] of Object.entries(ERROR_RESPONSES)) {
      const row = new RegExp(
        `\\| \`${kind}\` +\\| ${status} +\\| ${outcome} +\\|`,
      );
      expect(page, kind).to.match(row);
    }
  });

  it("has examples that are accepted", () => {
    // Guards against an example that the processes would refuse.
    for (const name of ["entry", "agent"]) {
      parseProcessSettings(readDoc(`examples/${name}.json`))._unsafeUnwrap();
    }
    CtlSettings.parse(JSON.parse(readDoc("examples/ctl.json")));
    const { edits } = JSON.parse(readDoc("examples/edits.json"));
    checkSettings(applyEdits({}, edits))._unsafeUnwrap();
    const context = { idempotencyKey: "k", customer: "press" };
    parseJob(Buffer.from(readDoc("examples/job.json")), context)
      ._unsafeUnwrap();
  });
});
