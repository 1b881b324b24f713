import { expect } from "chai";
import { LoopDelayMonitor } from "../../../../src/coordination/batch/entry/mod.ts";

describe("LoopDelayMonitor", () => {
  let now = 0;
  let monitor: LoopDelayMonitor;

  beforeEach(() => {
    now = 0;
    monitor = new LoopDelayMonitor({ getTime: () => now });
  });

  /** Lets the timer fire `delayMs` later than its interval of 20 ms. */
  function recordTurn(delayMs: number): void {
    now += 20 + delayMs;
    monitor.recordTick();
  }

  it("reports no delay while the timer fires on time or after one long turn", () => {
    recordTurn(0);
    recordTurn(300);
    expect(monitor.delayMs).to.equal(0);
    recordTurn(0);
    expect(monitor.delayMs).to.equal(0);
  });

  it("reports the shorter of two long turns, the current one included", () => {
    recordTurn(300);
    recordTurn(200);
    expect(monitor.delayMs).to.equal(200);
    recordTurn(0);
    expect(monitor.delayMs).to.equal(0);
    recordTurn(300);
    now += 20 + 500;
    expect(monitor.delayMs).to.equal(300);
  });

  it("counts a single long turn as a wait of requests, until these are handled", () => {
    // Guards against a request that is older than its entry takes it for.
    recordTurn(0);
    now += 20 + 700;
    expect(monitor.longestWaitMs).to.equal(700);
    monitor.recordTick();
    expect(monitor.longestWaitMs).to.equal(700);
    for (let turn = 0; turn < 6; turn++) {
      recordTurn(0);
    }
    expect(monitor.longestWaitMs).to.equal(0);
  });

  it("keeps the longest of several waits in a row", () => {
    recordTurn(700);
    recordTurn(30);
    expect(monitor.longestWaitMs).to.equal(700);
  });
});
