import { expect } from "chai";
import * as fc from "fast-check";
import { LogFollower } from "../../../src/coordination/follower/mod.ts";
import { ClusterView, type ViewEvent } from "../../../src/state/view/mod.ts";
import { MemoryLog } from "./memory_log.ts";

function createFollower(log: MemoryLog, role?: "entry" | "agent"): LogFollower {
  return new LogFollower({ view: new ClusterView(), log, zone: "a", role });
}

async function appendSnapshot(log: MemoryLog, view: ClusterView) {
  const snapshot = JSON.parse(JSON.stringify(view.createSnapshot()));
  await log.append({ type: "snapshot", at: view.offset, view: snapshot });
}

describe("LogFollower", () => {
  it("starts from the newest snapshot after the log has deleted older records", async () => {
    // Guards against a new instance that runs with outdated settings or none.
    const log = new MemoryLog();
    const writer = createFollower(log);
    for (let n = 0; n < 1_500; n++) {
      await log.appendChange(n % 9);
      if (n === 100 || n === 900) {
        await writer.readToHead();
        await appendSnapshot(log, writer.view);
      }
    }
    await writer.readToHead();
    log.first = 800;
    const late = createFollower(log);
    expect(await late.readToHead()).to.equal(true);
    expect(late.view.createSnapshot()).to.deep.equal(
      writer.view.createSnapshot(),
    );
  });

  it("starts no work while earlier records are deleted and no snapshot is retained", async () => {
    // Guards against a view that counts as complete although it lacks records.
    const log = new MemoryLog();
    const writer = createFollower(log);
    await log.appendChange(1);
    await writer.readToHead();
    await appendSnapshot(log, writer.view);
    await log.appendChange(2);
    await log.appendChange(3);
    log.first = 4;
    const late = createFollower(log);
    expect(await late.readToHead()).to.equal(false);
    expect(late.canStartWork()).to.equal(false);
    expect(late.view.revision).to.equal(0);
  });

  it("treats a log that has lost records as unreachable", async () => {
    // Guards against a view that counts as recent although the log has assigned
    // its offsets to other records.
    const log = new MemoryLog();
    const follower = createFollower(log);
    await log.appendChange(1);
    await log.appendChange(2);
    await follower.readToHead();
    log.records.length = 0;
    await log.appendChange(3);
    expect(await follower.readToHead()).to.equal(false);
    expect(follower.view.settings.rules?.priority).to.equal(2);
  });

  it("reports the removed members to a process whose next records were deleted", async () => {
    // Guards against links and claims that remain after the removal of their
    // member because its records were never read.
    const log = new MemoryLog();
    const writer = createFollower(log);
    const lagging = createFollower(log);
    const events: string[] = [];
    lagging.addListener((event: ViewEvent) => {
      if ("member" in event) {
        events.push(`${event.type} ${event.member.id}`);
      }
    });
    await log.appendAnnouncement("e1", "a");
    await lagging.readToHead();
    await log.append({ type: "leave", memberId: "e1", phase: "left" });
    await log.appendAnnouncement("e2", "a");
    await writer.readToHead();
    await appendSnapshot(log, writer.view);
    log.first = 4;
    expect(await lagging.readToHead()).to.equal(true);
    expect(events).to.deep.equal(["joined e1", "removed e1", "joined e2"]);
  });

  it("limits the reads of all agents together to 2,000 per second", async () => {
    // Guards against overload of the log by 8,800 agents that read it every
    // 400 ms when the heartbeats stop.
    const log = new MemoryLog();
    const agent = createFollower(log, "agent");
    expect(agent.getReadIntervalMs()).to.equal(400);
    for (let n = 0; n < 1_000; n++) {
      await log.appendAnnouncement(`a${n}`, "a", "agent");
    }
    await agent.readToHead();
    expect(agent.getReadIntervalMs()).to.equal(500);
  });

  it("never decreases the revision, whatever is read, deleted and written as a snapshot", async () => {
    // Guards against a revision that decreases because of an old snapshot or an
    // old page.
    const action = fc.oneof(
      fc.constantFrom("change", "announce", "retain"),
      fc.tuple(fc.constantFrom("read", "snapshot"), fc.nat(2)),
    );
    await fc.assert(
      fc.asyncProperty(
        fc.array(action, { minLength: 10, maxLength: 60 }),
        runActions,
      ),
      { seed: 11, numRuns: 300 },
    );
  });
});

async function runActions(actions: (string | [string, number])[]) {
  const log = new MemoryLog();
  const reference = createFollower(log);
  const followers = [0, 1, 2].map(() => createFollower(log));
  let newestSnapshotOffset = 0;
  for (const [step, action] of actions.entries()) {
    const [name, n] = typeof action === "string" ? [action, 0] : action;
    const follower = followers[n]!;
    const before = follower.view.revision;
    switch (name) {
      case "change":
        await log.appendChange(step % 9);
        break;
      case "announce":
        await log.appendAnnouncement(`e${step}`, "a");
        break;
      case "retain":
        // Deletes the records that the newest snapshot covers.
        log.first = Math.max(log.first, newestSnapshotOffset + 1);
        break;
      case "snapshot":
        // A follower that lags writes an old snapshot after newer records.
        await appendSnapshot(log, follower.view);
        if (follower.view.offset + 1 >= log.first) {
          newestSnapshotOffset = Math.max(
            newestSnapshotOffset,
            follower.view.offset,
          );
        }
        break;
      default: {
        const isComplete = await follower.readToHead();
        await reference.readToHead();
        expect(follower.view.revision).to.be.at.least(before);
        if (isComplete) {
          expect(follower.view.createSnapshot()).to.deep.equal(
            reference.view.createSnapshot(),
          );
        }
      }
    }
  }
}
