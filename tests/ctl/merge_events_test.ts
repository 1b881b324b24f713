import { expect } from "chai";
import { mergeEvents } from "../../src/ctl/merge_events.ts";
import { Timeline } from "../../src/state/timeline/mod.ts";

describe("mergeEvents", () => {
  it("puts a cause before its effect when the wall clocks disagree", () => {
    // Guards against a timeline that shows a task ending before it was sent,
    // which sorting by wall clock would do when a process's clock is slow.
    const entry = new Timeline("entry#1");
    const agent = new Timeline("agent#1");
    entry.record("task_sent", { key: "k" });
    agent.mergeClock(entry.advanceClock());
    agent.record("task_started", { key: "k" });
    entry.mergeClock(agent.advanceClock());
    entry.record("task_answered", { key: "k" });
    const slowClockEvents = agent.getEvents().map((event) => ({
      ...event,
      timeMs: event.timeMs - 60_000,
    }));
    const merged = mergeEvents([...slowClockEvents, ...entry.getEvents()]);
    expect(merged.map(({ type }) => type)).to.deep.equal([
      "task_sent",
      "task_started",
      "task_answered",
    ]);
    expect(merged[1]?.offsetMs).to.be.within(-60_100, -59_900);
  });

  it("orders events with equal clocks by member id", () => {
    const events = ["b#1", "a#1"].map((memberId) => {
      const timeline = new Timeline(memberId);
      timeline.record("event");
      return timeline.getEvents()[0]!;
    });
    const processes = mergeEvents(events).map(({ process }) => process);
    expect(processes).to.deep.equal(["a#1", "b#1"]);
  });
});
