import { expect } from "chai";
import type { MemoryHolder } from "../../src/transport/memory_holder.ts";
import { MemoryBudget } from "../../src/transport/memory_budget.ts";

const LIMIT_BYTES = 1_000_000;

/** The load: clients that add parts of bodies that they never end. */
describe("MemoryBudget", () => {
  let budget: MemoryBudget;
  let evicted: string[];

  beforeEach(() => {
    budget = new MemoryBudget(LIMIT_BYTES);
    evicted = [];
  });

  function createHolder(name: string): MemoryHolder {
    return { heldBytes: 0, evict: () => evicted.push(name) };
  }

  it("evicts the holder of most bytes, whoever exceeds the budget", () => {
    // Guards against a large holder that has small requests refused.
    budget.addEvictable(createHolder("large"), 500_000);
    budget.addEvictable(createHolder("medium"), 240_000);
    budget.addEvictable(createHolder("small"), 10_001);
    expect(evicted).to.deep.equal(["large"]);
    expect(budget.heldBytes).to.equal(250_001);
  });

  it("evicts the oldest of equal holders, and keeps within the limit with any number", () => {
    // Guards against thousands of bodies that are each within the limit.
    for (let n = 0; n < 2_000; n++) {
      budget.addEvictable(createHolder(`body ${n}`), 250_000);
      expect(budget.heldBytes).to.be.at.most(LIMIT_BYTES);
    }
    expect(evicted).to.have.length(1_997);
    expect(evicted.slice(0, 2)).to.deep.equal(["body 0", "body 1"]);
  });

  it("lets small holders use a reserve while handlers hold the rest", () => {
    // Guards against a crowd of large requests that run and have all others refused.
    budget.addFixed(budget.maxHolderBytes);
    budget.addEvictable(createHolder("small"), 10_000);
    expect(evicted).to.be.empty;
    budget.addEvictable(createHolder("large"), 20_000);
    expect(evicted).to.deep.equal(["large"]);
    expect(budget.isExceeded).to.equal(false);
  });

  it("never counts a holder that was evicted or released again", () => {
    // Guards against a budget that runs out, or counts below zero, over time.
    const holder = createHolder("one");
    budget.addEvictable(holder, LIMIT_BYTES);
    budget.releaseHolder(holder);
    budget.addEvictable(holder, 10);
    budget.releaseHolder(holder);
    budget.releaseHolder(holder);
    expect(evicted).to.deep.equal(["one"]);
    expect(budget.heldBytes).to.equal(0);
  });

  it("accepts nothing more when what can't be evicted exceeds the limit", () => {
    // Guards against memory without a bound when all of it is in use.
    budget.addFixed(LIMIT_BYTES + 1);
    expect(budget.isExceeded).to.equal(true);
    budget.releaseFixed(1);
    expect(budget.isExceeded).to.equal(false);
  });
});
