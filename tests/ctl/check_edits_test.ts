import { expect } from "chai";
import { LogFollower } from "../../src/coordination/follower/mod.ts";
import { checkEdits } from "../../src/ctl/check_edits.ts";
import { ClusterView } from "../../src/state/view/mod.ts";
import { HttpLogService } from "../../src/transport/log/mod.ts";

describe("checkEdits", () => {
  function check(path: string, value: string | number | object) {
    const log = new HttpLogService("127.0.0.1:1");
    const follower = new LogFollower({
      ...{ view: new ClusterView(), log, zone: "" },
    });
    const context = { log, follower, operator: "test", timeoutMs: 1_000 };
    const edits = [{ path, value: value as string }];
    return checkEdits(context, edits, { strict: true });
  }

  it("reports all errors with their paths, and what would change", () => {
    // Guards against an operator who mends one error only to meet the next one.
    const result = check("rules", { timeoutMs: "5s", maxTask: 3 });
    expect(result.exitCode).to.equal(2);
    expect(result.text).to.match(/rules\.timeoutMs .*milliseconds/);
    expect(result.text).to.match(/rules\.maxTask .*"rules\.maxTasks"/);
    expect(result.value["differences"]).to.have.length(1);
  });

  it("reports all rules that can't be met", () => {
    // Guards against a check that is narrower than that of the processes.
    const { text } = check("services", {
      a: { rules: { timeoutMs: 500_000 } },
      b: { rules: { hedging: true, maxAttempts: 1 } },
    });
    expect(text).to.contain("services.a.rules.timeoutMs");
    expect(text).to.contain("services.b.rules.hedging");
  });

  it("warns of names that no live member has", () => {
    // Guards against rules of a misspelt service, which never apply.
    const result = check("services.rendre.rules.priority", 3);
    expect(result.exitCode).to.equal(1);
    expect(result.text).to.contain("services.rendre");
  });

  it("refuses values that are nested too deeply", () => {
    // Guards against a check that ends with an error of its own.
    let value = {};
    for (let depth = 0; depth < 5_000; depth++) {
      value = { value };
    }
    expect(check("rules", value).exitCode).to.equal(2);
  });
});
