import { expect } from "chai";
import {
  LogFollower,
  SnapshotWriter,
} from "../../../src/coordination/follower/mod.ts";
import { ClusterView } from "../../../src/state/view/mod.ts";
import { MemoryLog } from "./memory_log.ts";

describe("SnapshotWriter", () => {
  const names = ["e1", "e2", "e3"];
  let now: number;
  let log: MemoryLog;
  let followers: LogFollower[];
  let writers: SnapshotWriter[];

  beforeEach(async () => {
    now = 0;
    log = new MemoryLog();
    followers = names.map(() =>
      new LogFollower({
        view: new ClusterView(),
        log,
        zone: "a",
        getTime: () => now,
      })
    );
    writers = names.map((_, n) => createWriter(n));
    for (const name of names) {
      await log.appendAnnouncement(name, "a");
    }
    // One entry appends the first snapshot, and all have seen it.
    await runRound();
    await runRound();
  });

  function createWriter(n: number): SnapshotWriter {
    return new SnapshotWriter({
      memberId: names[n]!,
      follower: followers[n]!,
      log,
      intervalMs: 300_000,
    });
  }

  /** Gets which entries appended a snapshot. */
  async function runRound(without?: number): Promise<number[]> {
    const wrote: number[] = [];
    for (const follower of followers) {
      await follower.readOnce();
    }
    for (const [n, writer] of writers.entries()) {
      if (n !== without && await writer.writeIfDue()) {
        wrote.push(n);
      }
    }
    return wrote;
  }

  it("appends after 500 records, by one entry", async () => {
    now += 2_000;
    for (let n = 0; n < 499; n++) {
      await log.appendChange(1);
    }
    expect(await runRound()).to.have.length(0);
    for (let n = 0; n < 3; n++) {
      await log.appendChange(1);
    }
    expect(await runRound()).to.have.length(1);
    expect(await runRound()).to.have.length(0);
  });

  it("lets the next entry act when the chosen one doesn't", async () => {
    // Guards against a chosen entry that was killed or paused, and a log
    // without snapshots.
    now += 300_000;
    const chosen = await findChosen();
    expect(await runRound(chosen)).to.have.length(0);
    now += 2_000;
    expect(await runRound(chosen)).to.have.length(1);
  });

  it("writes nothing from an old view, and a snapshot soon after an outage", async () => {
    // Guards against a log whose retention passes the last snapshot because of
    // an outage.
    log.isDown = true;
    now += 400_000;
    expect(await runRound()).to.have.length(0);
    log.isDown = false;
    expect(await runRound()).to.have.length(1);
  });

  /** Finds whose turn it is by a trial whose record is taken back. */
  async function findChosen(): Promise<number> {
    const [chosen] = await runRound();
    log.records.pop();
    writers[chosen!] = createWriter(chosen!);
    return chosen!;
  }
});
