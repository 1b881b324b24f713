import { expect } from "chai";
import { Logger } from "tslog";
import { TimelineObserver } from "../../src/processes/timeline_observer.ts";
import { RateLimitedLogger } from "../../src/processes/rate_limited_logger.ts";
import { ViewMonitor } from "../../src/processes/view_monitor.ts";
import type { LogFollower } from "../../src/coordination/follower/mod.ts";
import { Metrics } from "../../src/state/metrics/mod.ts";
import { Timeline } from "../../src/state/timeline/mod.ts";

/** Creates a logger that keeps its lines instead of writing them. */
function createLogger(lines: Record<string, unknown>[]) {
  const logger = new Logger<Record<string, unknown>>({ type: "hidden" });
  logger.attachTransport((line) => {
    lines.push({ message: line["0"], ...(line["1"] as object) });
  });
  return logger;
}

describe("EventRecorder", () => {
  it("counts refusals by kind, and names the task in the log line", () => {
    // Guards against a refusal that operators can neither count nor trace to
    // its submission.
    const lines: Record<string, unknown>[] = [];
    const metrics = new Metrics();
    const limiter = new RateLimitedLogger({ logger: createLogger(lines) });
    const events = new TimelineObserver({
      metrics,
      rateLimitedLogger: limiter,
    });
    const timeline = new Timeline("agent#1", {
      onRecord: (event) => events.observe(event),
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

describe("LogLimiter", () => {
  it("bounds the lines of a second, and says how many are left out", () => {
    // Guards against an entry that spends its core on log lines under overload.
    const lines: Record<string, unknown>[] = [];
    let now = 0;
    const limiter = new RateLimitedLogger({
      logger: createLogger(lines),
      getTime: () => now,
    });
    for (let n = 0; n < 100; n++) {
      limiter.write("warn", "task refused", { n });
    }
    now = 1_000;
    limiter.write("warn", "task refused", { n: 100 });
    expect(lines).to.have.length(21);
    expect(lines[20]).to.include({ n: 100, suppressed: 80 });
  });
});

describe("ViewMonitor", () => {
  it("writes when outage mode begins and ends, once each", () => {
    // Guards against an outage that only shows as refusals.
    const lines: Record<string, unknown>[] = [];
    const limiter = new RateLimitedLogger({ logger: createLogger(lines) });
    const state = { ageMs: 10, canStartWork: true };
    const follower = {
      addListener: () => {},
      getViewAgeMs: () => state.ageMs,
      canStartWork: () => state.canStartWork,
    } as unknown as LogFollower;
    const metrics = new Metrics();
    const monitor = new ViewMonitor({
      follower,
      metrics,
      rateLimitedLogger: limiter,
    });
    for (const [ageMs, canStartWork] of [[10, true], [6_000, true]] as const) {
      Object.assign(state, { ageMs, canStartWork });
      monitor.check();
      monitor.check();
    }
    state.canStartWork = false;
    monitor.check();
    Object.assign(state, { ageMs: 20, canStartWork: true });
    monitor.check();
    expect(lines.map(({ message }) => message)).to.deep.equal([
      "view is fresh",
      "outage mode entered",
      "outage mode left",
      "view is too old; no work starts",
      "view is fresh",
    ]);
  });
});
