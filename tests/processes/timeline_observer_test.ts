import { expect } from "chai";
import { Logger } from "tslog";
import { TimelineObserver } from "../../src/processes/timeline_observer.ts";
import { RateLimitedLogger } from "../../src/processes/rate_limited_logger.ts";
import { ViewMonitor } from "../../src/processes/view_monitor.ts";
import type { LogFollower } from "../../src/coordination/follower/mod.ts";
import { Metrics } from "../../src/state/metrics/mod.ts";
import { Timeline } from "../../src/state/timeline/mod.ts";

/** Creates a logger that collects its lines instead of writing them. */
function createLogger(lines: Record<string, unknown>[]) {
  const logger = new Logger<Record<string, unknown>>({ type: "hidden" });
  logger.attachTransport((line) => {
    lines.push({ message: line["0"], ...(line["1"] as object) });
  });
  return logger;
}

describe("TimelineObserver", () => {
  it("counts refusals by kind, and logs the key, index and attempt of the task", () => {
    // Guards against refusals that operators can neither count nor trace to
    // their submissions.
    const lines: Record<string, unknown>[] = [];
    const metrics = new Metrics();
    const rateLimitedLogger = new RateLimitedLogger({
      logger: createLogger(lines),
    });
    const timelineObserver = new TimelineObserver({
      metrics,
      rateLimitedLogger,
    });
    const timeline = new Timeline("agent#1", {
      onRecord: (event) => timelineObserver.observe(event),
    });
    const task = { key: "c/1", index: 2, attempt: 1 };
    timeline.record("task_refused", { ...task, detail: "zone_out" });
    timeline.record("task_started", task);
    timeline.record("task_ended", task);
    expect(metrics.format()).to.include(
      'cranberrybank_refusals_total{of="task",kind="zone_out"} 1',
    ).and.to.include("cranberrybank_run_seconds_count 1");
    expect(lines).to.deep.equal([
      { message: "task refused", ...task, kind: "zone_out" },
    ]);
  });
});

describe("RateLimitedLogger", () => {
  it("limits the lines per second, and states how many were suppressed", () => {
    // Guards against an entry that spends its CPU time on log lines under
    // overload.
    const lines: Record<string, unknown>[] = [];
    let now = 0;
    const rateLimitedLogger = new RateLimitedLogger({
      logger: createLogger(lines),
      getTime: () => now,
    });
    for (let n = 0; n < 100; n++) {
      rateLimitedLogger.writeLine("warn", "task refused", { n });
    }
    now = 1_000;
    rateLimitedLogger.writeLine("warn", "task refused", { n: 100 });
    expect(lines).to.have.length(21);
    expect(lines[20]).to.include({ n: 100, suppressed: 80 });
  });
});

describe("ViewMonitor", () => {
  it("logs the start and the end of outage mode once each", () => {
    // Guards against an outage that operators only notice by refused requests.
    const lines: Record<string, unknown>[] = [];
    const rateLimitedLogger = new RateLimitedLogger({
      logger: createLogger(lines),
    });
    const state = { ageMs: 10, canStartWork: true };
    const follower = {
      addListener: () => {},
      getViewAgeMs: () => state.ageMs,
      canStartWork: () => state.canStartWork,
    } as unknown as LogFollower;
    const metrics = new Metrics();
    const viewMonitor = new ViewMonitor({
      follower,
      metrics,
      rateLimitedLogger,
    });
    for (const [ageMs, canStartWork] of [[10, true], [6_000, true]] as const) {
      Object.assign(state, { ageMs, canStartWork });
      viewMonitor.checkView();
      viewMonitor.checkView();
    }
    state.canStartWork = false;
    viewMonitor.checkView();
    Object.assign(state, { ageMs: 20, canStartWork: true });
    viewMonitor.checkView();
    expect(lines.map(({ message }) => message)).to.deep.equal([
      "view is fresh",
      "outage mode entered",
      "outage mode left",
      "view is too old; no work starts",
      "view is fresh",
    ]);
  });
});
