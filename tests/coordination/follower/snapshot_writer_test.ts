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
    // One entry appends the first snapshot, and all entries read it.
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

  /**
   * Runs one check at each entry but `without`, and gets the indexes of the
   * entries that appended a snapshot.
   */
  async function runRound(without?: number): Promise<number[]> {
    const writerIndexes: number[] = [];
    for (const follower of followers) {
      await follower.readToHead();
    }
    for (const [n, writer] of writers.entries()) {
      if (n !== without && await writer.writeIfDue()) {
        writerIndexes.push(n);
      }
    }
    return writerIndexes;
  }

  it("appends one snapshot after 500 records, from one entry", async () => {
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

  it("lets the next entry write when the first in the order doesn't", async () => {
    // Guards against a log without new snapshots when the first entry in the
    // order was killed or paused.
    now += 300_000;
    const first = await findFirstInOrder();
    expect(await runRound(first)).to.have.length(0);
    now += 2_000;
    expect(await runRound(first)).to.have.length(1);
  });

  it("writes no snapshot of a stale view, and one soon after an outage", async () => {
    // Guards against a log that deletes the last snapshot because none was
    // written after an outage.
    log.isDown = true;
    now += 400_000;
    expect(await runRound()).to.have.length(0);
    log.isDown = false;
    expect(await runRound()).to.have.length(1);
  });

  /**
   * Finds the index of the first entry in the order by running a round, whose
   * record is then removed.
   */
  async function findFirstInOrder(): Promise<number> {
    const [first] = await runRound();
    log.records.pop();
    writers[first!] = createWriter(first!);
    return first!;
  }
});
