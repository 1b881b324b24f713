import { expect } from "chai";
import { explainJob } from "../../src/ctl/explain_job.ts";

const JOB = "5c0e7a21d94b36f8";

function createLine(
  time: number,
  process: string,
  event: string,
  fields: Record<string, unknown> = {},
): string {
  return JSON.stringify({ time, process, event, ...fields });
}

describe("explainJob", () => {
  const entry = [
    createLine(1_000, "entry-1", "job_admission", { job: JOB, endMs: 90 }),
    createLine(1_400, "entry-1", "agent_lost", { agent: "agent-1" }),
    createLine(1_401, "entry-1", "job_answered", { job: JOB, error: "x" }),
    createLine(9_000, "entry-1", "agent_lost", { agent: "agent-2" }),
    "not an event",
  ].join("\n");
  const agent = [
    `  12.3 agent-1 ${
      createLine(1_002, "agent-1", "run_started", { task: `${JOB}.0.0.1` })
    }`,
    createLine(1_003, "agent-2", "worker_lost"),
  ].join("\n");

  it("lists the events of the job, and those of its processes at that time, in order", () => {
    const result = explainJob([entry, agent], JOB);
    const events = result.value["events"] as { event: string }[];
    expect(events.map(({ event }) => event)).to.deep.equal([
      "job_admission",
      "run_started",
      "agent_lost",
      "job_answered",
    ]);
    expect(result.text).to.contain('run_started    task="0.0.1"');
  });

  it("names the intake of an entry that has refused or delayed the job", () => {
    // Guards against a search at the workers for time that was lost at an entry.
    const lines = [
      createLine(1, "entry-1", "job_intake", { job: JOB, cause: "waited" }),
      createLine(9, "entry-2", "job_answered", {
        ...{ job: JOB, queuedMs: 40, tookMs: 90 },
      }),
    ].join("\n");
    const { text } = explainJob([lines], JOB);
    expect(text).to.contain("refused by the intake of entry-1: waited");
    expect(text).to.contain("delayed by the intake of entry-2: 40 of 90 ms");
    expect(explainJob([entry], JOB).value["findings"]).to.deep.equal([]);
  });

  it("includes the crash of a worker that was running a task of the job", () => {
    const crash = createLine(1_350, "agent-1", "runs_interrupted", {
      reason: "refused",
      tasks: [
        "00000000000000aa.0.0.0 run 1, 20 ms",
        `${JOB}.0.0.1 run 1, 9 ms`,
      ],
    });
    const result = explainJob([entry, crash], JOB);
    const events = result.value["events"] as { event: string }[];
    expect(events.map(({ event }) => event)).to.include("runs_interrupted");
  });

  it("includes the refusals of requests whose path names the job", () => {
    const refuse = (path: string): string =>
      createLine(900, "entry-2", "request_refused", {
        path,
        error: "not_ready",
      });
    const lines = [
      refuse(`/render/${JOB}`),
      refuse("/render/00000000000000aa"),
    ];
    const result = explainJob([entry, lines.join("\n")], JOB);
    const events = result.value["events"] as { event: string }[];
    expect(events.filter(({ event }) => event === "request_refused"))
      .to.have.length(1);
  });

  it("includes the pauses of the job's processes", () => {
    const pause = createLine(1_390, "agent-1", "process_paused", {
      pausedMs: 520,
    });
    const result = explainJob([entry, agent, pause], JOB);
    expect(result.text).to.contain("process_paused  pausedMs=520");
  });

  it("reports that no log line is about the job", () => {
    const result = explainJob([entry], "0000000000000000");
    expect(result.exitCode).to.equal(1);
    expect(result.text).to.contain("may have been dropped");
  });
});
