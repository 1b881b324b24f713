import { expect } from "chai";
import { isNestedWithin } from "../../../src/state/json/mod.ts";

function createNested(levels: number): unknown {
  return JSON.parse("[".repeat(levels) + "]".repeat(levels));
}

describe("isNestedWithin", () => {
  it("counts the levels of arrays and objects", () => {
    expect(isNestedWithin("text", 0)).to.equal(true);
    expect(isNestedWithin(createNested(3), 3)).to.equal(true);
    expect(isNestedWithin(createNested(4), 3)).to.equal(false);
    expect(isNestedWithin({ a: { b: null }, c: [[1]] }, 3)).to.equal(true);
    expect(isNestedWithin({ a: { b: {} }, c: [[[1]]] }, 3)).to.equal(false);
  });

  it("returns for a value that overflows the stack of recursive code", () => {
    expect(isNestedWithin(createNested(1_000_000))).to.equal(false);
  });
});
