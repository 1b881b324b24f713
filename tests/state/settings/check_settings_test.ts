import { expect } from "chai";
import {
  checkSettings,
  resolveQuotas,
  resolveRules,
  resolveRuleSources,
} from "../../../src/state/settings/mod.ts";

function getMessage(tree: unknown): string {
  return checkSettings(tree).match(() => "accepted", (error) => error.message);
}

describe("checkSettings", () => {
  // Each guards against a change that is accepted but has no effect, or whose
  // rules can't be met.
  const refused: [string, unknown, string][] = [
    ["an unknown key", { rules: { timeoutsMs: 5 } }, '"rules.timeoutMs"'],
    ["a key without its unit", { rules: { timeout: 5 } }, "in milliseconds"],
    [
      "a key below a record",
      { services: { a: { job: {} } } },
      '"services.a.jobs"',
    ],
    ["a value in another unit", { rules: { deadlineMs: "5s" } }, 'not "5s"'],
    [
      "a fraction of a second",
      { rules: { deadlineMs: 0.5 } },
      "whole number of milliseconds",
    ],
    [
      "a timeout above the deadline that a parent states",
      {
        rules: { deadlineMs: 4_000, timeoutMs: 1_000 },
        services: { a: { jobs: { b: { rules: { timeoutMs: 5_000 } } } } },
      },
      "timeoutMs 5000 (from services.a.jobs.b.rules) is above deadlineMs 4000 (from rules)",
    ],
    [
      "a timeout above the built-in deadline",
      { rules: { timeoutMs: 60_000 } },
      "deadlineMs 30000 (from built-in)",
    ],
    [
      "hedging with one attempt",
      {
        rules: { maxAttempts: 1 },
        services: { a: { rules: { hedging: true } } },
      },
      "maxAttempts is 1 (from rules)",
    ],
    [
      "a team's quota above its customer's",
      { customers: { c: { maxRunning: 5, teams: { t: { maxRunning: 6 } } } } },
      '"customers.c.teams.t.maxRunning": 6 is above',
    ],
  ];
  for (const [name, tree, part] of refused) {
    it(`refuses ${name}`, () => expect(getMessage(tree)).to.include(part));
  }

  it("accepts a shorter deadline alone, and shortens the built-in timeout", () => {
    // Guards against a change of a deadline that is refused unless the operator
    // also states a timeout.
    const tree = { services: { a: { rules: { deadlineMs: 2_000 } } } };
    expect(getMessage(tree)).to.equal("accepted");
    expect(resolveRules(tree, "a").timeoutMs).to.equal(2_000);
  });
});

describe("resolveRuleSources", () => {
  it("names the node that states each value", () => {
    // Guards against an operator who edits a node that another one overrides.
    const tree = {
      rules: { priority: 3, deadlineMs: 9_000 },
      services: { a: { rules: { priority: 4 }, jobs: { b: {} } } },
    };
    const sources = resolveRuleSources(tree, "a", { job: "b" });
    expect(sources.priority).to.deep.equal({
      value: 4,
      from: "services.a.rules",
    });
    expect(sources.deadlineMs.from).to.equal("rules");
    expect(sources.maxTasks.from).to.equal("built-in");
  });
});

describe("resolveQuotas", () => {
  it("lets a team inherit what it doesn't state", () => {
    const customers = {
      c: { weight: 2, maxRunning: 9, teams: { t: { maxRunning: 4 } } },
    };
    expect(resolveQuotas({ customers }, "c", { team: "t" })).to.deep.equal({
      weight: 2,
      maxRunning: 4,
    });
  });
});
