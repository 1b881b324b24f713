import { expect } from "chai";
import type { BatchAnswer } from "../../../../src/coordination/batch/entry/mod.ts";
import { JobIntake } from "../../../../src/coordination/batch/entry/job_intake.ts";
import { Metrics } from "../../../../src/state/metrics/mod.ts";
import { createRoute } from "../../../lib/create_route.ts";
import { RecordedLog } from "../../../lib/recorded_log.ts";

const URGENT = createRoute({ name: "urgent", priority: 0 });
const BATCH = createRoute({ name: "batch", priority: 1 });

/** Time that each request takes once it is handled, in milliseconds. */
const COST_MS = 100;

describe("JobIntake", () => {
  let now = 0;
  let isBehind = false;
  let turns: (() => void)[] = [];
  let handled: { jobId: string; queuedMs: number }[] = [];
  let rejected: { jobId: string; answer: BatchAnswer }[] = [];
  let log: RecordedLog;
  let intake: JobIntake;

  beforeEach(() => {
    now = 0;
    isBehind = false;
    turns = [];
    handled = [];
    rejected = [];
    log = new RecordedLog();
    intake = createIntake(true);
  });

  function createIntake(isEnabled: boolean): JobIntake {
    return new JobIntake({
      ...{ log, metrics: new Metrics(), isEnabled },
      isBehind: () => isBehind,
      getTime: () => now,
      scheduleTurn: (callback) => turns.push(callback),
      scheduleNext: (callback) => callback(),
    });
  }

  function runTurn(): void {
    const callbacks = turns;
    turns = [];
    callbacks.forEach((callback) => callback());
  }

  function runAllTurns(): void {
    while (turns.length > 0) {
      runTurn();
    }
  }

  function add(
    jobId: string,
    { route = URGENT, caller = "a", timeLeftMs = 5_000, client }: {
      route?: typeof URGENT;
      caller?: string;
      timeLeftMs?: number;
      client?: AbortController;
    } = {},
  ): void {
    const { signal } = client ?? new AbortController();
    intake.add({
      ...{ jobId, route, caller, timeLeftMs, signal },
      arrival: { readAt: now, arrivedAt: now },
      handle: (queuedMs) => {
        now += COST_MS;
        handled.push({ jobId, queuedMs });
      },
      reject: (answer) => rejected.push({ jobId, answer }),
    });
  }

  function getHandledIds(): string[] {
    return handled.map(({ jobId }) => jobId);
  }

  it("handles a request at once while the entry keeps up", () => {
    // Guards against a delay of requests that nothing competes with.
    expect(intake.tryHandleNow(URGENT, "a")).to.equal(true);
    expect(intake.tryHandleNow(URGENT, "a")).to.equal(false);
    runAllTurns();
    expect(intake.tryHandleNow(URGENT, "a")).to.equal(true);
    runAllTurns();
    isBehind = true;
    expect(intake.tryHandleNow(URGENT, "a")).to.equal(false);
  });

  it("handles each request at once when it is turned off", () => {
    intake = createIntake(false);
    isBehind = true;
    expect(intake.tryHandleNow(URGENT, "a")).to.equal(true);
    expect(intake.tryHandleNow(URGENT, "a")).to.equal(true);
    expect(turns).to.have.length(0);
  });

  it("leaves time for other events between requests", () => {
    // Guards against ends of runs that wait until all requests are handled.
    add("1");
    add("2");
    runTurn();
    expect(getHandledIds()).to.deep.equal(["1"]);
    runTurn();
    expect(getHandledIds()).to.deep.equal(["1", "2"]);
  });

  it("handles requests for as long as other events have taken", () => {
    // Guards against requests that wait, also long ones, while ends of runs are handled.
    for (let number = 0; number < 9; number++) {
      add(String(number));
    }
    runTurn();
    expect(intake.turnMs).to.equal(COST_MS);
    now += 4 * COST_MS;
    runTurn();
    expect(handled).to.have.length(1 + 4);
    expect(intake.turnMs).to.equal(4 * COST_MS);
  });

  it("handles urgent requests first, and tells how long each has waited", () => {
    add("1", { route: BATCH });
    now += 30;
    add("2");
    runAllTurns();
    expect(handled).to.deep.equal([
      { jobId: "2", queuedMs: 0 },
      { jobId: "1", queuedMs: 30 + COST_MS },
    ]);
  });

  it("handles a job that is sent twice while it waits as one", () => {
    // Guards against a refusal of one submission, "not run", while the other runs.
    add("1", { route: BATCH });
    add("2", { route: BATCH });
    add("1", { route: BATCH });
    expect(intake.size).to.equal(2);
    runTurn();
    expect(getHandledIds()).to.deep.equal(["1", "1"]);
    expect(intake.has("1")).to.equal(false);
  });

  it("takes out a job when its last client has gone", () => {
    // Guards against a job that runs without a caller, or twice elsewhere.
    const clients = [new AbortController(), new AbortController()];
    clients.forEach((client) => add("1", { client }));
    clients[0]?.abort();
    expect(intake.has("1")).to.equal(true);
    clients[1]?.abort();
    expect(intake.size).to.equal(0);
    runAllTurns();
    expect(handled).to.deep.equal([]);
    expect(rejected.map(({ answer }) => answer)).to.deep.equal(
      Array(2).fill({ kind: "error", error: "cancelled" }),
    );
  });

  it("answers a client that has gone before without queuing its job", () => {
    const client = new AbortController();
    client.abort();
    add("1", { client });
    expect(intake.size).to.equal(0);
    expect(rejected).to.have.length(1);
  });

  it("cancels a job that waits, and no other one", () => {
    add("1");
    add("2");
    expect([intake.cancel("1"), intake.cancel("3")]).to.deep.equal([
      true,
      false,
    ]);
    runAllTurns();
    expect(getHandledIds()).to.deep.equal(["2"]);
    expect(rejected.map(({ jobId }) => jobId)).to.deep.equal(["1"]);
  });

  it("refuses what is of no use any more, once, and when there will be room", () => {
    // Guards against work for callers that have given up, and against clients that
    // return together.
    for (let number = 0; number < 50; number++) {
      add(String(number), { timeLeftMs: 1_000 });
    }
    now = 1_500;
    runAllTurns();
    expect(handled).to.deep.equal([]);
    expect(rejected).to.have.length(50);
    const delays = rejected.map(({ answer }) =>
      answer.kind === "error" ? answer.retryAfterMs ?? 0 : 0
    );
    expect(Math.min(...delays)).to.be.at.least(1_000);
    expect(new Set(delays).size).to.be.greaterThan(40);
    expect(log.count("job_intake")).to.equal(50);
    expect(log.events[0]?.fields).to.include({ cause: "waited", priority: 0 });
  });

  it("refuses a request at once when those before it take too long, also unread", () => {
    const head = {
      ...{ jobId: "x", route: BATCH, caller: "a", timeLeftMs: 100 },
    };
    const route = createRoute({ latencyTargetMs: 50 });
    const head2 = { ...head, route };
    expect(intake.refuseUseless(head2)).to.equal(undefined);
    for (let number = 0; number < 200; number++) {
      add(String(number));
    }
    expect(intake.refuseUseless(head2)).to.include({ error: "overloaded" });
    expect(intake.refuseUseless({ ...head2, jobId: "1" })).to.equal(undefined);
    expect(intake.refuseUseless({ ...head2, timeLeftMs: 9_000, caller: "b" }))
      .to.equal(undefined);
    add("y", { timeLeftMs: 100, route });
    expect(rejected.map(({ jobId }) => jobId)).to.deep.equal(["y"]);
    expect(intake.has("y")).to.equal(false);
  });
});
