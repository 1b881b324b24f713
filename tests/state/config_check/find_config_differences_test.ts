import { expect } from "chai";
import { findConfigDifferences } from "../../../src/state/config_check/mod.ts";

describe("findConfigDifferences", () => {
  it("names the paths of values that were changed, added and removed", () => {
    // Guards against a change that an operator doesn't see before it is sent.
    const former = { a: 1, b: { c: 2, d: [1, 2] }, e: null };
    const next = { a: 1, b: { c: 3, d: [2, 1] }, f: {} };
    expect(findConfigDifferences(former, next)).to.deep.equal([
      { path: "b.c", former: 2, next: 3 },
      { path: "b.d", former: [1, 2], next: [2, 1] },
      { path: "e", former: null, next: undefined },
      { path: "f", former: undefined, next: {} },
    ]);
  });

  it("compares named items by name, and others as a whole", () => {
    // Guards against a moved route that hides the one that was changed.
    const former = { r: [{ name: "a", t: 1 }, { name: "b", t: 2 }] };
    const moved = { r: [{ name: "b", t: 2 }, { name: "a", t: 9 }] };
    expect(findConfigDifferences(former, moved)).to.deep.equal([
      { path: "r.a.t", former: 1, next: 9 },
    ]);
    const repeated = { r: [{ name: "a" }, { name: "a" }] };
    expect(findConfigDifferences(former, repeated)).to.deep.equal([
      { path: "r", former: former.r, next: repeated.r },
    ]);
  });
});
