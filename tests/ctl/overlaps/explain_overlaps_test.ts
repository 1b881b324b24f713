import { expect } from "chai";
import { explainOverlaps } from "../../../src/ctl/overlaps/mod.ts";
import type { CommandResult } from "../../../src/ctl/command_result.ts";

const JOB = "5c0e7a21d94b36f8";
const TASK = `${JOB}.0.0.0`;
const STARTED_AT = 1_700_000_000_000;

/** An event: time after the start of the log, process, name and fields. */
type Event = [number, string, string, Record<string, unknown>?];

interface ExplainedRun {
  run: number;
  agent: string;
  entry?: string;
  decision?: { event: string; formerEnd?: string };
  admission?: { event: string; time: number };
  pauses: { kind: string; lengthMs: number; endedAt: number }[];
  claim: string;
  knowledge?: { event: string };
  events: { event: string; process: string }[];
}

interface ExplainedOverlap {
  task: string;
  certainty: string;
  leastMs: number;
  mostMs: number;
  cause: string;
  restarts: string[];
  runs: ExplainedRun[];
}

function createLog(events: readonly Event[]): string {
  return events.map(([ms, process, event, fields]) =>
    JSON.stringify({ time: STARTED_AT + ms, process, event, ...fields })
  ).join("\n");
}

function startRun(ms: number, agent: string, entry: string, run = 1): Event {
  return [ms, agent, "run_started", { job: JOB, task: TASK, run, entry }];
}

function endRun(
  ms: number,
  agent: string,
  fields: { run?: number; outcome?: string; runMs?: number } = {},
): Event {
  const defaults = { run: 1, outcome: "done", runMs: 100 };
  return [ms, agent, "run_ended", {
    job: JOB,
    task: TASK,
    ...defaults,
    ...fields,
  }];
}

function explain(
  events: readonly Event[],
  toleranceMs = 5,
): { result: CommandResult; overlaps: ExplainedOverlap[] } {
  const result = explainOverlaps([createLog(events)], { toleranceMs });
  const overlaps = result.value["overlaps"] as ExplainedOverlap[];
  return { result, overlaps };
}

/** The first entry stands still from 517 to 1,518 ms. */
const PAUSED_ENTRY: readonly Event[] = [
  [0, "entry-1", "job_admission", { job: JOB, kind: "admitted" }],
  startRun(35, "agent-3", "entry-1"),
  [1_305, "agent-3", "entry_silent", { entry: "entry-1", proofAgeMs: 904 }],
  endRun(1_309, "agent-3", { outcome: "stopped", runMs: 1_280 }),
  [1_322, "entry-2", "job_held", { job: JOB, heldMs: 0 }],
  [1_323, "entry-2", "job_admission", { job: JOB, kind: "admitted" }],
  startRun(1_344, "agent-1", "entry-2"),
  [1_545, "entry-1", "task_placed_again", {
    job: JOB,
    task: TASK,
    formerRun: 1,
    formerAgent: "agent-3",
    formerEnd: "stopped",
    agent: "agent-6",
    jobAgeMs: 1_545,
  }],
  [1_556, "entry-2", "job_cancelled", { job: JOB, agent: "agent-1" }],
  [1_557, "entry-2", "job_answered", { job: JOB, error: "cancelled" }],
  startRun(1_563, "agent-6", "entry-1", 2),
  endRun(1_600, "agent-1", { outcome: "stopped", runMs: 257 }),
  endRun(2_850, "agent-6", { run: 2, runMs: 1_290 }),
  [2_851, "entry-1", "job_answered", { job: JOB, kind: "completed" }],
];

/** An agent is killed at 702 ms, and its worker goes on until 1,342 ms. */
const KILLED_AGENT: readonly Event[] = [
  [0, "entry-1", "job_admission", { job: JOB, kind: "admitted" }],
  startRun(24, "agent-1", "entry-1"),
  [690, "agent-1", "store_reachable"],
  [702, "entry-1", "agent_lost", { agent: "agent-1" }],
  [702, "entry-1", "runs_lost", { job: JOB, agent: "agent-1", tasks: 1 }],
  [950, "agent-1", "starting", { incarnation: "2" }],
  [1_302, "entry-2", "job_admission", { job: JOB, kind: "admitted" }],
  startRun(1_309, "agent-5", "entry-2"),
  [1_390, "agent-1", "worker_settled"],
  [1_616, "entry-1", "lost_runs_ended", {
    job: JOB,
    agent: "agent-1",
    cause: "report",
  }],
  [1_617, "entry-1", "task_placed_again", {
    job: JOB,
    task: TASK,
    formerRun: 1,
    formerAgent: "agent-1",
    formerEnd: "report",
    agent: "agent-2",
    jobAgeMs: 1_617,
  }],
  startRun(1_635, "agent-2", "entry-1", 2),
  endRun(2_595, "agent-5", { runMs: 1_290 }),
  endRun(2_920, "agent-2", { run: 2, runMs: 1_290 }),
];

/** Lines about jobs and of the start of an entry, in the soak with seed 2400. */
const LATE_READER: readonly Event[] = [
  [-2_600, "entry-1", "starting", { role: "entry", incarnation: "b4" }],
  [-2_400, "entry-1", "job_claim_waited", { job: "3", waitedMs: 21 }],
  [-337, "entry-1", "job_answered", { job: "3", kind: "completed" }],
  [-300, "entry-1", "job_answered", { job: "4", kind: "completed" }],
  [0, "entry-1", "job_admission", { job: JOB, kind: "admitted" }],
  [500, "entry-3", "job_answered", { job: "5", kind: "completed" }],
  [583, "entry-3", "job_admission", { job: JOB, kind: "admitted" }],
  startRun(741, "agent-5", "entry-1"),
  startRun(803, "agent-1", "entry-3"),
  endRun(1_485, "agent-1", { runMs: 729 }),
  [1_528, "agent-5", "job_superseded", {
    job: JOB,
    entry: "entry-1",
    claimedBy: "entry-3",
  }],
  [1_542, "entry-1", "job_answered", { job: JOB, kind: "error" }],
  endRun(1_785, "agent-5", { runMs: 1_074 }),
];

describe("explainOverlaps", () => {
  it("finds a run of a second entry beside one that the first entry places again after a pause", () => {
    const { result, overlaps } = explain(PAUSED_ENTRY);
    expect(result.exitCode).to.equal(10);
    expect(overlaps.map(({ certainty, leastMs, mostMs }) => ({
      certainty,
      leastMs,
      mostMs,
    }))).to.deep.equal([{ certainty: "certain", leastMs: 37, mostMs: 37 }]);
    const [first, second] = overlaps[0]?.runs as [ExplainedRun, ExplainedRun];
    expect(first).to.include({ agent: "agent-1", entry: "entry-2", run: 1 });
    expect(first.decision?.event).to.equal("job_admission");
    expect(second).to.include({ agent: "agent-6", entry: "entry-1", run: 2 });
    expect(second.decision).to.include({
      event: "task_placed_again",
      formerEnd: "stopped",
    });
    expect(second.events.map(({ process, event }) => `${process} ${event}`))
      .to.deep.equal([
        "entry-1 job_admission",
        "agent-3 run_started",
        "agent-3 entry_silent",
        "agent-3 run_ended",
        "entry-1 task_placed_again",
        "agent-6 run_started",
        "agent-6 run_ended",
      ]);
  });

  it("finds both overlaps when the first entry places tasks of a killed agent again", () => {
    const { overlaps } = explain(KILLED_AGENT);
    expect(overlaps.map(({ certainty, leastMs, mostMs, runs }) => ({
      certainty,
      leastMs,
      mostMs,
      agents: runs.map(({ agent }) => agent).join(),
    }))).to.deep.equal([
      // The worker's run has ended by the report that settles the new agent.
      {
        certainty: "possible",
        leastMs: 0,
        mostMs: 81,
        agents: "agent-1,agent-5",
      },
      {
        certainty: "certain",
        leastMs: 960,
        mostMs: 960,
        agents: "agent-5,agent-2",
      },
    ]);
    const events = overlaps[1]?.runs[1]?.events.map(({ event }) => event);
    expect(events).to.include.members(["runs_lost", "lost_runs_ended"]);
    expect(overlaps[1]?.runs[1]?.decision?.formerEnd).to.equal("report");
  });

  it("states which line told an entry of other runs, and how old it was", () => {
    const { result, overlaps } = explain([
      startRun(0, "agent-1", "entry-1"),
      [1_300, "entry-2", "job_taken_over", { job: JOB, agent: "agent-1" }],
      [1_400, "entry-2", "job_admission", { job: JOB }],
      startRun(1_410, "agent-2", "entry-2"),
      endRun(1_500, "agent-1"),
      endRun(1_600, "agent-2"),
    ]);
    expect(overlaps[0]?.runs[1]?.knowledge?.event).to.equal("job_taken_over");
    expect(result.text).to.contain(
      "knowledge of other runs: job_taken_over, 110 ms before the start",
    );
  });

  it("leaves out what the entry logged about an earlier submission", () => {
    const { overlaps } = explain([
      [0, "entry-2", "job_taken_over", { job: JOB, agent: "agent-9" }],
      [10, "entry-2", "job_answered", { job: JOB }],
      startRun(900, "agent-1", "entry-1"),
      [1_000, "entry-2", "job_admission", { job: JOB }],
      startRun(1_010, "agent-2", "entry-2"),
      endRun(1_100, "agent-1"),
      endRun(1_100, "agent-2"),
    ]);
    const [, second] = overlaps[0]?.runs as [ExplainedRun, ExplainedRun];
    expect(second.knowledge).to.equal(undefined);
    expect(second.events[0]?.event).to.equal("job_admission");
  });

  it("reports no overlap for runs that follow each other", () => {
    const { result, overlaps } = explain([
      startRun(0, "agent-1", "entry-1"),
      endRun(100, "agent-1"),
      startRun(101, "agent-2", "entry-1", 2),
      endRun(200, "agent-2", { run: 2 }),
    ]);
    expect(overlaps).to.deep.equal([]);
    expect(result.exitCode).to.equal(0);
    expect(result.text).to.contain("0 certain and 0 possible overlaps of 2");
  });

  it("leaves out overlaps that are no longer than the difference of clocks", () => {
    const events = [
      startRun(0, "agent-1", "entry-1"),
      startRun(80, "agent-2", "entry-2"),
      endRun(100, "agent-1"),
      endRun(200, "agent-2"),
    ];
    expect(explain(events, 19).overlaps).to.have.length(1);
    expect(explain(events, 20).overlaps).to.have.length(0);
  });

  it("finds a run that goes on after its agent refused one with the same number", () => {
    const { overlaps } = explain([
      startRun(0, "agent-1", "entry-1"),
      endRun(10, "agent-1", { outcome: "returned", runMs: 0 }),
      startRun(20, "agent-2", "entry-2"),
      endRun(100, "agent-1"),
      endRun(100, "agent-2"),
    ]);
    expect(overlaps[0]).to.include({ certainty: "certain", leastMs: 80 });
  });

  it("counts no run whose start was not carried out", () => {
    const unanswered = { job: JOB, task: TASK, run: 1, kind: "timeout" };
    const { overlaps } = explain([
      [50, "agent-1", "start_unanswered", unanswered],
      startRun(100, "agent-2", "entry-2"),
      endRun(150, "agent-1", { outcome: "returned", runMs: 150 }),
      endRun(200, "agent-2"),
    ]);
    expect(overlaps).to.deep.equal([]);
  });

  it("counts a run whose start was repeated from the later start on", () => {
    const unanswered = { job: JOB, task: TASK, run: 1, kind: "timeout" };
    const { overlaps } = explain([
      startRun(0, "agent-2", "entry-2"),
      [50, "agent-1", "start_unanswered", unanswered],
      endRun(80, "agent-2"),
      [90, "agent-1", "start_repeated", unanswered],
      startRun(100, "agent-1", "entry-1"),
      endRun(200, "agent-1", { runMs: 100 }),
    ]);
    expect(overlaps).to.deep.equal([]);
  });

  it("finds a run whose start was unanswered and confirmed late", () => {
    const unanswered = { job: JOB, task: TASK, run: 1, kind: "timeout" };
    const { overlaps } = explain([
      [50, "agent-1", "start_unanswered", unanswered],
      startRun(60, "agent-2", "entry-2"),
      endRun(160, "agent-2"),
      startRun(300, "agent-1", "entry-1"),
      endRun(400, "agent-1", { runMs: 400 }),
    ]);
    expect(overlaps[0]).to.include({ certainty: "possible", mostMs: 100 });
  });

  it("finds a run whose start was unanswered before its agent was killed", () => {
    const unanswered = { job: JOB, task: TASK, run: 1, kind: "timeout" };
    const { overlaps } = explain([
      [50, "agent-1", "start_unanswered", unanswered],
      [200, "agent-1", "starting"],
      startRun(300, "agent-2", "entry-2"),
      endRun(400, "agent-2"),
    ]);
    expect(overlaps[0]).to.include({ certainty: "possible", mostMs: 100 });
  });

  it("is not certain of an end that the agent only inferred", () => {
    const { overlaps } = explain([
      startRun(0, "agent-1", "entry-1"),
      startRun(500, "agent-2", "entry-2"),
      endRun(1_000, "agent-1", { outcome: "lost", runMs: 1_000 }),
      endRun(1_000, "agent-2"),
    ]);
    expect(overlaps[0]).to.include({ certainty: "possible", mostMs: 500 });
  });

  it("is not certain of an end that a paused agent logged after the pause", () => {
    const { overlaps } = explain([
      startRun(0, "agent-1", "entry-1"),
      startRun(1_500, "agent-2", "entry-2"),
      [2_700, "agent-1", "entry_silent", { entry: "x", proofAgeMs: 2_300 }],
      endRun(2_710, "agent-1", { runMs: 2_710 }),
      endRun(2_800, "agent-2"),
    ]);
    expect(overlaps[0]).to.include({ certainty: "possible", leastMs: 0 });
  });

  it("is not certain of an end within a pause that the agent logged", () => {
    const endPaused = (pausedMs: number): ExplainedOverlap[] =>
      explain([
        startRun(0, "agent-1", "entry-1"),
        startRun(500, "agent-2", "entry-2"),
        endRun(1_000, "agent-1", { runMs: 1_000 }),
        [1_010, "agent-1", "process_paused", { pausedMs }],
        endRun(1_500, "agent-2"),
      ]).overlaps;
    expect(endPaused(600)[0]).to.include({ certainty: "possible", leastMs: 0 });
    // The agent stood still for up to 50 ms more than it says.
    expect(endPaused(500)[0]).to.include({ certainty: "possible", leastMs: 0 });
    expect(endPaused(400)[0]).to.include({ certainty: "certain", leastMs: 60 });
  });

  it("lists the pauses of the entry between its admission and the run", () => {
    const { overlaps } = explain([
      ...PAUSED_ENTRY.slice(0, 7),
      [1_520, "entry-1", "process_paused", { pausedMs: 980 }],
      ...PAUSED_ENTRY.slice(7),
    ]);
    const events = overlaps[0]?.runs[1]?.events.map(({ event }) => event);
    expect(events).to.include("process_paused");
  });

  it("is not certain of a run whose end may be among dropped lines", () => {
    const { overlaps, result } = explain([
      startRun(0, "agent-1", "entry-1"),
      startRun(500, "agent-2", "entry-2"),
      endRun(600, "agent-2"),
      [900, "agent-1", "lines_dropped", { count: 3 }],
    ]);
    expect(overlaps[0]).to.include({ certainty: "possible", leastMs: 0 });
    expect(result.text).to.contain("3 lines were dropped");
  });

  it("is certain of a run without an end while its agent goes on", () => {
    const { overlaps } = explain([
      startRun(0, "agent-1", "entry-1"),
      startRun(500, "agent-2", "entry-2"),
      endRun(600, "agent-2"),
      [900, "agent-1", "store_lost"],
    ]);
    expect(overlaps[0]).to.include({ certainty: "certain", leastMs: 100 });
  });

  it("ends a run of a killed agent with its lease if no later report is logged", () => {
    const startSecond = (ms: number): Event[] => [
      startRun(0, "agent-1", "entry-1"),
      [200, "agent-1", "starting"],
      startRun(ms, "agent-2", "entry-2"),
      endRun(ms + 100, "agent-2"),
    ];
    expect(explain(startSecond(1_300)).overlaps).to.have.length(1);
    expect(explain(startSecond(1_320)).overlaps).to.have.length(0);
  });

  it("finds two runs at one agent, also of one entry", () => {
    const { overlaps } = explain([
      startRun(0, "agent-1", "entry-1"),
      startRun(50, "agent-1", "entry-1", 2),
      endRun(100, "agent-1"),
      endRun(150, "agent-1", { run: 2 }),
    ]);
    expect(overlaps).to.have.length(1);
  });

  it("reads lines of several files with the prefix of a log collector", () => {
    const prefix = (event: Event) => `  12.3 node-7 ${createLog([event])}`;
    const first = [startRun(0, "agent-1", "entry-1"), endRun(100, "agent-1")];
    const second = [startRun(9, "agent-2", "entry-2"), endRun(99, "agent-2")];
    const texts = [first, second].map((log) => log.map(prefix).join("\n"));
    const result = explainOverlaps(texts, { toleranceMs: 5 });
    expect(result.value).to.include({ runs: 2, certain: 1, possible: 0 });
  });

  it("reports that no line is about a run", () => {
    const { result } = explain([[0, "entry-1", "started"]]);
    expect(result.exitCode).to.equal(1);
  });

  it("refuses a tolerance that is not a number of milliseconds", () => {
    for (const toleranceMs of [NaN, -1]) {
      expect(explain(PAUSED_ENTRY, toleranceMs).result.exitCode).to.equal(2);
    }
  });

  describe("explains a request that an entry read late", () => {
    /** Pauses of the first run's entry, with their ends from its admission on. */
    function getPauses(
      overlaps: readonly ExplainedOverlap[],
    ): { kind: string; lengthMs: number; endedMs: number }[] | undefined {
      return overlaps[0]?.runs[0]?.pauses.map((
        { kind, lengthMs, endedAt },
      ) => ({ kind, lengthMs, endedMs: endedAt - STARTED_AT }));
    }

    it("by both admissions, the silence before the first one, and no claim", () => {
      const { overlaps, result } = explain(LATE_READER);
      expect(overlaps[0]).to.include({ cause: "both_admitted", mostMs: 682 });
      expect(overlaps[0]?.restarts).to.deep.equal([]);
      expect(
        overlaps[0]?.runs.map(({ admission, claim }) => ({
          admittedMs: Number(admission?.time) - STARTED_AT,
          claim,
        })),
      ).to.deep.equal([
        { admittedMs: 0, claim: "not_logged" },
        { admittedMs: 583, claim: "not_logged" },
      ]);
      expect(getPauses(overlaps)).to.deep.equal([
        { kind: "silent", lengthMs: 2_063, endedMs: -337 },
      ]);
      expect(overlaps[0]?.runs[1]?.pauses).to.deep.equal([]);
      expect(result.text.split("\n").slice(1, 3)).to.deep.equal([
        "  cause: entry-1 admitted the job, and entry-3 583 ms later; no claim was logged before the starts; entry-1 logged nothing for 2063 ms until 337 ms before its admission",
        "  started meanwhile: no process",
      ]);
      expect(result.text.split("\n").slice(6, 9)).to.deep.equal([
        "  admission: 741 ms before the start",
        "  pauses before the admission: no line for 2063 ms until 337 ms before",
        "  claim: none logged before the start; job_superseded (entry-3) 787 ms after it",
      ]);
    });

    it("by the pauses that the entry has logged, rather than by its silence", () => {
      const { overlaps, result } = explain([
        ...LATE_READER.slice(0, 2),
        [-330, "entry-1", "process_paused", { pausedMs: 1_990 }],
        ...LATE_READER.slice(2),
      ]);
      expect(getPauses(overlaps)).to.deep.equal([
        { kind: "paused", lengthMs: 1_990, endedMs: -330 },
      ]);
      expect(result.text).to.contain(
        "entry-1 paused for 1990 ms until 330 ms before its admission",
      );
    });

    it("by a pause whose line follows the admission in the same turn", () => {
      const { overlaps, result } = explain([
        ...LATE_READER.slice(0, 2),
        [12, "entry-1", "process_paused", { pausedMs: 1_990 }],
        ...LATE_READER.slice(4),
      ]);
      expect(getPauses(overlaps)?.[0]).to.include({ endedMs: 12 });
      expect(result.text).to.contain("paused for 1990 ms until 0 ms before");
    });

    it("by no pause that began after the admission or ended long before it", () => {
      const { overlaps, result } = explain([
        [-5_000, "entry-1", "process_paused", { pausedMs: 2_000 }],
        ...LATE_READER,
        [2_900, "entry-1", "process_paused", { pausedMs: 2_000 }],
      ]);
      expect(overlaps[0]?.runs[0]?.pauses).to.deep.equal([]);
      expect(result.text).to.contain("no pause of an entry was logged");
    });

    it("by no silence of an entry that was not there", () => {
      const { overlaps } = explain([
        [-4_000, "entry-1", "stopped"],
        [-100, "entry-1", "starting"],
        ...LATE_READER.slice(4),
      ]);
      expect(overlaps[0]?.runs[0]?.pauses).to.deep.equal([]);
    });
  });

  describe("names the state of the claim when a run started as", () => {
    /** Explains the second run, with one line more before the run started. */
    function getClaim(
      process: string,
      event: string,
      fields: Record<string, unknown>,
    ): string | undefined {
      const line: Event = [700, process, event, { job: JOB, ...fields }];
      return explain([
        ...LATE_READER.slice(0, 7),
        line,
        ...LATE_READER.slice(7),
      ]).overlaps[0]?.runs[1]?.claim;
    }

    it("granted, held, superseded or not logged", () => {
      const claims = [
        getClaim("entry-3", "job_claim_waited", { jobAgeMs: 910 }),
        getClaim("entry-3", "job_claim_held", { holder: "entry-1" }),
        getClaim("agent-2", "job_superseded", { entry: "entry-3" }),
        // Another entry's claim says nothing of this one.
        getClaim("agent-2", "job_superseded", { entry: "entry-1" }),
        getClaim("entry-3", "job_held", { heldMs: 30 }),
      ];
      expect(claims).to.deep.equal([
        "granted",
        "held",
        "superseded",
        "not_logged",
        "not_logged",
      ]);
    });

    it("granted also in the cause", () => {
      const line: Event = [600, "entry-3", "job_claim_waited", { job: JOB }];
      const { result } = explain(
        [...LATE_READER, line].sort((a, b) => a[0] - b[0]),
      );
      expect(result.text).to.contain("; a claim was granted to entry-3;");
    });
  });

  describe("names the cause as", () => {
    function getCauses(events: readonly Event[]): string[] {
      return explain(events).overlaps.map(({ cause }) => cause);
    }

    it("placed_again and admitted_later for admissions that are apart", () => {
      expect(getCauses(PAUSED_ENTRY)).to.deep.equal(["placed_again"]);
      expect(getCauses(KILLED_AGENT))
        .to.deep.equal(["admitted_later", "placed_again"]);
      expect(explain(KILLED_AGENT).overlaps[0]?.restarts)
        .to.deep.equal(["agent-1"]);
    });

    it("both_admitted up to a second apart", () => {
      const admitSecond = (ms: number): Event[] => [
        [0, "entry-1", "job_admission", { job: JOB }],
        startRun(20, "agent-1", "entry-1"),
        [ms, "entry-2", "job_admission", { job: JOB }],
        startRun(1_100, "agent-2", "entry-2"),
        endRun(1_200, "agent-1"),
        endRun(1_200, "agent-2"),
      ];
      expect(getCauses(admitSecond(1_000))).to.deep.equal(["both_admitted"]);
      expect(getCauses(admitSecond(1_001))).to.deep.equal(["admitted_later"]);
    });

    describe("entry_ended", () => {
      /** The first entry writes nothing from 300 ms until its start at 900 ms. */
      function getCauseWith(...lines: readonly Event[]): string {
        const events: readonly Event[] = [
          [0, "entry-1", "job_admission", { job: JOB }],
          startRun(20, "agent-1", "entry-1"),
          [300, "entry-1", "job_answered", { job: "3" }],
          [400, "entry-2", "job_admission", { job: JOB }],
          startRun(420, "agent-2", "entry-2"),
          endRun(500, "agent-1"),
          endRun(500, "agent-2"),
          [900, "entry-1", "starting", { role: "entry" }],
        ];
        const sorted = [...events, ...lines].sort((a, b) => a[0] - b[0]);
        return getCauses(sorted).join();
      }

      it("if the first entry or an agent says so", () => {
        for (
          const line of [
            [350, "agent-3", "entry_lost", { entry: "entry-1" }],
            [350, "entry-1", "stopped"],
            [350, "entry-1", "starting"],
          ] satisfies Event[]
        ) {
          expect(getCauseWith(line), line[2]).to.equal("entry_ended");
        }
      });

      it("if the second entry was started meanwhile too", () => {
        expect(getCauseWith([350, "entry-2", "starting"]))
          .to.equal("entry_ended");
      });

      it("but not for silence before its next start, as it may have ended later", () => {
        // Guards against the reading of a soak with seed 1, in which all
        // processes were killed at once, but only after the second admission.
        expect(getCauseWith()).to.equal("both_admitted");
        expect(getCauseWith([450, "agent-3", "entry_lost", {
          entry: "entry-1",
        }])).to.equal("both_admitted");
      });

      it("but not if it goes on after its stream to an agent has ended", () => {
        expect(getCauseWith(
          [350, "agent-3", "entry_lost", { entry: "entry-1" }],
          [410, "entry-1", "job_answered", { job: "4" }],
        )).to.equal("both_admitted");
      });
    });

    it("one_entry or unknown otherwise", () => {
      const runs = (entry: string): Event[] => [
        [0, "entry-1", "job_admission", { job: JOB }],
        startRun(20, "agent-1", "entry-1"),
        startRun(420, "agent-2", entry),
        endRun(500, "agent-1"),
        endRun(500, "agent-2"),
      ];
      expect(getCauses(runs("entry-1"))).to.deep.equal(["one_entry"]);
      expect(getCauses(runs("entry-2"))).to.deep.equal(["unknown"]);
    });
  });
});
