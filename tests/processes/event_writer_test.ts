import { setTimeout as wait } from "node:timers/promises";
import { expect } from "chai";
import { EventWriter } from "../../src/processes/event_writer.ts";
import { Metrics } from "../../src/state/metrics/mod.ts";

describe("EventWriter", () => {
  /** Creates a writer whose writes complete only when `release` is called. */
  function createBlockedWriter() {
    const state = { text: "", writes: 0, clock: 1_000, release: () => {} };
    const metrics = new Metrics();
    const writer = new EventWriter({
      name: "entry-1",
      metrics,
      getWallClock: () => state.clock,
      flushDelayMs: 1,
      write: (text, callback) => {
        state.writes++;
        state.text += text;
        state.release = callback;
      },
    });
    return { state, metrics, writer };
  }

  it("writes one JSON line for each event", async () => {
    const { state, writer } = createBlockedWriter();
    writer.record("started", { role: "entry" });
    await wait(20);
    expect(JSON.parse(state.text)).to.deep.equal({
      time: 1_000,
      process: "entry-1",
      event: "started",
      role: "entry",
    });
  });

  it("combines lines that follow each other shortly in one write", async () => {
    const { state, writer } = createBlockedWriter();
    writer.record("started");
    await Promise.resolve();
    writer.record("announced");
    await wait(20);
    expect(state.text.split("\n")).to.have.length(3);
    expect(state.writes).to.equal(1);
  });

  it("bounds its buffer while the output is blocked, and records the dropped lines", async () => {
    const { state, metrics, writer } = createBlockedWriter();
    const detail = "x".repeat(1_000);
    writer.record("started");
    await wait(20);
    for (let n = 0; n < 2_000; n++) {
      state.clock += 100;
      writer.record("run_started", { job: "j", detail });
    }
    writer.record("store_lost");
    state.release();
    await wait(20);
    expect(state.text.length).to.be.lessThan(400_000);
    expect(state.text).to.contain("store_lost");
    expect(state.text).to.contain("lines_dropped");
    expect(metrics.format()).to.match(/log_lines_dropped_total 1[0-9]{3}\n/);
  });

  it("names its process in the line that counts dropped lines", async () => {
    // Guards against a gap that can't be attributed once logs are collected.
    const { state, writer } = createBlockedWriter();
    const detail = "x".repeat(1_000);
    for (let n = 0; n < 250; n++) {
      writer.record("run_started", { job: "j", detail });
    }
    writer.record("store_lost");
    await wait(20);
    const gap = state.text.trim().split("\n")
      .map((line) => JSON.parse(line)).at(-2);
    expect(gap.event).to.equal("lines_dropped");
    expect(gap.process).to.equal("entry-1");
  });

  it("limits only the lines about requests in one second", async () => {
    const { state, metrics, writer } = createBlockedWriter();
    const detail = "x".repeat(1_000);
    for (let n = 0; n < 250; n++) {
      writer.record("run_started", { job: "j", detail });
    }
    writer.record("store_lost");
    await wait(20);
    expect(state.text).to.contain("store_lost");
    expect(metrics.format()).to.match(/log_lines_dropped_total \d+/);
  });
});
