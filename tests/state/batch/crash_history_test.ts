import { expect } from "chai";
import { CrashHistory } from "../../../src/state/batch/mod.ts";

const TASK = "00000000000000aa.0.0.0";

describe("CrashHistory", () => {
  let history: CrashHistory;
  let crashCount: number;

  beforeEach(() => {
    history = new CrashHistory();
    crashCount = 0;
  });

  function recordCrash({ ranMs = 50, hasStarted = true, at = 0 } = {}): void {
    crashCount++;
    history.record({
      id: String(crashCount),
      agentId: `agent-${crashCount}`,
      at,
      runs: [{
        ...{ task: TASK, route: "r", ranMs, hasStarted },
        earlierCrashes: history.getCount(TASK),
      }],
    });
  }

  it("gives up a task after two crashes at the same point of its work", () => {
    recordCrash({ ranMs: 50 });
    expect(history.getVerdict(TASK)).to.equal("may_start");
    recordCrash({ ranMs: 58 });
    expect(history.getVerdict(TASK)).to.equal("crashes_workers");
  });

  it("gives a task that met two crashes at different points another start", () => {
    recordCrash({ ranMs: 50 });
    recordCrash({ ranMs: 200 });
    expect(history.getVerdict(TASK)).to.equal("may_start");
    recordCrash({ ranMs: 400 });
    expect(history.getVerdict(TASK)).to.equal("crashes_workers");
  });

  it("does not blame a task whose starts met workers that were crashing", () => {
    recordCrash({ ranMs: 2 });
    recordCrash({ ranMs: 2, hasStarted: false });
    recordCrash({ ranMs: 2, hasStarted: false });
    expect(history.getVerdict(TASK)).to.equal("may_start");
    recordCrash({ ranMs: 2, hasStarted: false });
    expect(history.getVerdict(TASK)).to.equal("unclear");
  });

  it("counts a crash once that is reported again, with further runs", () => {
    const run = { task: TASK, route: "r", ranMs: 1, hasStarted: true };
    const crash = {
      ...{ id: "c", agentId: "a", at: 0 },
      runs: [{ ...run, earlierCrashes: 0 }],
    };
    history.record(crash);
    const other = { ...run, task: "other", earlierCrashes: 0 };
    const news = history.record({ ...crash, runs: [...crash.runs, other] });
    expect(news.runs).to.deep.equal([other]);
    expect(history.getCount(TASK)).to.equal(1);
  });

  it("counts the crashes before the start of this entry", () => {
    history.record({
      ...{ id: "c", agentId: "a", at: 0 },
      runs: [{
        ...{ task: TASK, route: "r", ranMs: 1, hasStarted: true },
        earlierCrashes: 1,
      }],
    });
    expect(history.getCount(TASK)).to.equal(2);
  });

  it("forgets old crashes", () => {
    recordCrash({ at: 0 });
    recordCrash({ at: 200_000, ranMs: 50 });
    expect(history.getVerdict(TASK)).to.equal("may_start");
  });
});
