import { expect } from "chai";
import fc from "fast-check";
import { CreditLedger } from "../../../src/coordination/agent/mod.ts";
import { FakeEntry } from "./fake_entry.ts";

const ENTRIES = 3;
const SLOTS = 4;

type Step = {
  type: "queue" | "deliver" | "end" | "break" | "open" | "slots" | "closed";
  entry: number;
  count: number;
};

function runSteps(steps: Step[]): void {
  const ledger = new CreditLedger(SLOTS);
  const entries = Array.from(
    { length: ENTRIES },
    (_, n) => new FakeEntry(ledger, `entry-${n}`),
  );
  ledger.setGranting(true);
  let slots = SLOTS;
  for (const step of steps) {
    const { count } = step;
    const entry = entries[step.entry] as FakeEntry;
    const before = ledger.freeSlots;
    switch (step.type) {
      case "queue":
        entry.queue(count);
        break;
      case "deliver":
        entry.deliver(count);
        break;
      case "end":
        entry.endTask();
        break;
      case "break":
        entry.breakStream();
        break;
      case "open":
        entry.openStream();
        break;
      case "slots":
        slots = 1 + count;
        ledger.setSlots(slots);
        continue;
      case "closed":
        ledger.setGranting(count % 2 === 0);
        break;
      default:
        step.type satisfies never;
    }
    expect(ledger.freeSlots, "overcommitted slots").to.be.least(
      Math.min(0, before),
    );
    expect(entries.reduce((sum, { running }) => sum + running, 0))
      .to.equal(ledger.runningCount);
  }
  drain(ledger, entries);
  const granted = entries.reduce((sum, { credits }) => sum + credits, 0);
  expect(ledger.runningCount).to.equal(0);
  expect(granted, "credits after everything has ended").to.equal(slots);
}

/** Opens all streams and runs until all queued tasks have ended. */
function drain(ledger: CreditLedger, entries: FakeEntry[]): void {
  ledger.setGranting(true);
  entries.forEach((entry) => entry.openStream());
  for (let round = 0; round < 500; round++) {
    entries.forEach((entry) => {
      entry.deliver(100);
      entry.endTask();
    });
  }
  expect(entries.map(({ queued }) => queued)).to.deep.equal([0, 0, 0]);
}

describe("CreditLedger", () => {
  it("never grants a slot twice and loses none, whenever streams break", () => {
    // Guards against overcommitment and leaks: a task with a credit that finds
    // no free slot, or a slot that no entry can use.
    const types: Step["type"][] = [
      ...["queue", "deliver", "end", "deliver", "end"] as const,
      ...["break", "open", "slots", "closed"] as const,
    ];
    const step = fc.record({
      type: fc.constantFrom(...types),
      entry: fc.nat(ENTRIES - 1),
      count: fc.nat(6),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 120 }), runSteps),
      { seed: 7, numRuns: 500 },
    );
  });

  describe("setQueued", () => {
    it("moves all idle credits to the entry with queued tasks within two round trips", () => {
      // Guards against a burst at one entry during which the slots granted to
      // idle entries stay unused.
      const ledger = new CreditLedger(8);
      const busy = new FakeEntry(ledger, "busy");
      const idle = new FakeEntry(ledger, "idle");
      ledger.setGranting(true);
      busy.deliver(10);
      idle.deliver(10);
      busy.queue(150);
      for (let trip = 0; trip < 2; trip++) {
        busy.deliver(100);
        idle.deliver(100);
      }
      busy.deliver(100);
      expect(busy.running).to.equal(8);
    });

    it("gives freed slots to a second entry with queued tasks until both hold the same number", () => {
      // Guards against starvation by an entry whose queue never empties.
      const ledger = new CreditLedger(8);
      const first = new FakeEntry(ledger, "first");
      ledger.setGranting(true);
      first.queue(100);
      first.deliver(100);
      const second = new FakeEntry(ledger, "second");
      second.queue(100);
      for (let n = 0; n < 8; n++) {
        second.deliver(100);
        first.endTask();
        first.deliver(100);
      }
      second.deliver(100);
      expect(second.running).to.equal(4);
    });
  });

  describe("suspend", () => {
    it("gives a suspended entry's credits to the others and doesn't overcommit after it resumes", () => {
      // Guards against slots that stay idle until a paused entry is removed
      // from the members.
      const ledger = new CreditLedger(8);
      const paused = new FakeEntry(ledger, "paused");
      const busy = new FakeEntry(ledger, "busy");
      ledger.setGranting(true);
      paused.deliver(10);
      busy.queue(100);
      busy.deliver(100);
      expect(busy.running).to.be.below(8);
      ledger.suspend(paused.account);
      busy.deliver(100);
      expect(busy.running).to.equal(8);
      expect(ledger.acquireSlot(paused.account, { onCredit: true })).to.equal(
        false,
      );
      ledger.resume(paused.account);
      ledger.returnCredits(paused.account, 4);
      expect(ledger.freeSlots).to.equal(0);
    });
  });
});
