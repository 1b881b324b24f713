import { expect } from "chai";
import { VIEW_LIMITS } from "../../../src/coordination/follower/mod.ts";
import { ANSWER, FakeCluster, sleep } from "./fake_cluster.ts";

/** Several steps of a takeover, in milliseconds. */
const STEPS_MS = 250;

/**
 * Longest wait until a member that wasn't ready is asked again, in
 * milliseconds.
 */
const MAX_RETRY_MS = 400;

describe("ClaimService", () => {
  let cluster: FakeCluster;
  beforeEach(() => cluster = new FakeCluster({ entries: 2, agents: 4 }));
  afterEach(() => cluster.stop());

  /** Removes the home of a key, and gets a key that had the same home. */
  function removeHome(key: string, options: { late?: string[] } = {}): string {
    const home = cluster.findHome(key);
    const fresh = findKeys(home).find((other) => other !== key) as string;
    cluster.remove([home], options);
    return fresh;
  }

  function findKeys(home: string): string[] {
    return Array.from({ length: 100 }, (_, n) => `k${n}`)
      .filter((key) => cluster.findHome(key) === home);
  }

  async function settle(): Promise<void> {
    await sleep(STEPS_MS);
    cluster.now += VIEW_LIMITS.maxViewAgeMs;
    await sleep(STEPS_MS);
  }

  describe("handleClaim", () => {
    it("asks only the former homes when an agent joins", async () => {
      // Guards against a new home that grants a key which is running, and
      // against calls to everybody.
      await settle();
      expect(cluster.claim("k", "e1")).to.deep.equal(["granted"]);
      const watcher = cluster.claim("k", "e2");
      await sleep(STEPS_MS);
      cluster.gatherCalls.length = 0;
      await cluster.addAgentsUntilHomeMoves("k");
      expect(watcher).to.deep.equal(["running", "moved"]);
      const again = cluster.claim("k", "e2");
      await sleep(STEPS_MS);
      expect(again).to.deep.equal(["running"]);
      expect(cluster.gatherCalls.filter((call) => call.includes(">e"))).to.deep
        .equal(
          [],
        );
    });

    it("waits for every member after a removal, also past the view age limit", async () => {
      // Guards against a grant while a removed home or a slow member may still
      // know of another one.
      await settle();
      cluster.claim("k", "e1");
      const fresh = removeHome("k", { late: ["e1"] });
      const again = cluster.claim("k", "e2");
      const other = cluster.claim(fresh, "e2");
      await sleep(STEPS_MS);
      cluster.now += VIEW_LIMITS.maxViewAgeMs;
      await sleep(STEPS_MS);
      expect([again, other], "e1 is behind").to.deep.equal([[], []]);
      cluster.catchUp("e1");
      await sleep(STEPS_MS + MAX_RETRY_MS);
      expect([again, other]).to.deep.equal([["running"], ["granted"]]);
    });

    it("decides without a wait when only agents were removed and all members have answered", async () => {
      // Guards against keys that stay unusable for seconds after each loss of
      // an agent.
      await settle();
      cluster.now += 2 * VIEW_LIMITS.maxViewAgeMs;
      const fresh = removeHome("k");
      const other = cluster.claim(fresh, "e2");
      // The clock stands still, so only the answers can decide; they come in
      // real time.
      for (let tries = 0; tries < 100 && other.length === 0; tries++) {
        await sleep(50);
      }
      expect(other).to.deep.equal(["granted"]);
    });

    it("doesn't answer before the view age limit when an entry was removed too", async () => {
      // Guards against a removed entry and a removed agent, both paused, that
      // go on together.
      await settle();
      cluster.now += 2 * VIEW_LIMITS.maxViewAgeMs;
      cluster.remove(["e1"]);
      const fresh = removeHome("k");
      const other = cluster.claim(fresh, "e2");
      cluster.now += VIEW_LIMITS.maxViewAgeMs - 1;
      await sleep(STEPS_MS);
      expect(other).to.deep.equal([]);
      cluster.now += 1;
      await sleep(STEPS_MS);
      expect(other).to.deep.equal(["granted"]);
    });

    it("finds a stored answer at the coordinator", async () => {
      await settle();
      cluster.claim("k", "e1");
      const coordinator = "e1";
      cluster.tables.get("e1")?.complete("k", "f", {
        coordinator,
        answer: ANSWER,
      });
      removeHome("k");
      const again = cluster.claim("k", "e2");
      await settle();
      expect(again).to.deep.equal(["done"]);
    });

    it("finds a lost submission by its start records", async () => {
      // Guards against a second run after the entry and the home were lost, and
      // against needless holds.
      await settle();
      cluster.claim("k", "e1");
      const home = cluster.findHome("k");
      const runner = ["a1", "a2"].find((id) => id !== home) as string;
      cluster.startedKeys.get(runner)?.set("k", "e1");
      cluster.remove(["e1"]);
      const fresh = removeHome("k");
      const again = cluster.claim("k", "e2");
      const other = cluster.claim(fresh, "e2");
      await settle();
      expect([again, other]).to.deep.equal([["lost"], ["granted"]]);
    });

    it("holds keys back after the loss of an entry, the home and an agent", async () => {
      // Guards against a second run when all three places that knew the claim
      // are lost.
      await settle();
      cluster.claim("k", "e1");
      const kept = findKeys(cluster.findHome("k")).length;
      expect(kept).to.be.greaterThan(1);
      const home = cluster.findHome("k");
      const runner = ["a1", "a2"].find((id) => id !== home) as string;
      cluster.remove(["e1"]);
      cluster.remove([runner]);
      cluster.remove([home]);
      const again = cluster.claim("k", "e2");
      await settle();
      expect(again).to.deep.equal(["held_back"]);
      cluster.now += 600_000;
      expect(cluster.claim("k", "e2")).to.deep.equal(["granted"]);
    });

    it("holds nothing back when the further agent has come back", async () => {
      // Guards against needless holds: a process that is announced anew keeps
      // its start records.
      const runner = ["a1", "a2"].find((id) => id !== cluster.findHome("k"));
      await settle();
      cluster.remove(["e1"]);
      cluster.remove([runner as string]);
      cluster.addAgent("back", { processId: runner as string });
      await settle();
      const home = ["a1", "a2", "a3", "a4"].find((id) => id !== runner);
      const [fresh = ""] = findKeys(home as string);
      cluster.remove([home as string]);
      const other = cluster.claim(fresh, "e2");
      await settle();
      expect(other).to.deep.equal(["granted"]);
    });

    it("holds nothing back after the loss of agents alone", async () => {
      await settle();
      const home = cluster.findHome("k");
      const runner = ["a1", "a2"].find((id) => id !== home) as string;
      cluster.remove([runner]);
      cluster.remove([home]);
      const fresh = cluster.claim("k", "e2");
      await settle();
      expect(fresh).to.deep.equal(["granted"]);
    });

    it("asks everybody when the former home hadn't completed its own takeover", async () => {
      // Guards against a chain of homes in which the one in between knows
      // nothing.
      await settle();
      cluster.claim("k", "e1");
      const first = cluster.findHome("k");
      await sleep(STEPS_MS);
      cluster.unreachable.add(first);
      await cluster.addAgentsUntilHomeMoves("k");
      await cluster.addAgentsUntilHomeMoves("k");
      const again = cluster.claim("k", "e2");
      await sleep(STEPS_MS);
      expect(again).to.deep.equal([]);
      cluster.unreachable.delete(first);
      cluster.catchUp(first);
      await settle();
      expect(again).to.deep.equal(["running"]);
    });

    it("doesn't use the answer of a member that is ahead", async () => {
      // Guards against a home that grants a key under an old view, while the
      // answer leaves the key out.
      await settle();
      cluster.claim("k", "e1");
      const first = cluster.findHome("k");
      cluster.unreachable.add(first);
      const behind = await cluster.addAgentsUntilHomeMoves("k");
      cluster.unreachable.add(behind);
      await cluster.addAgentsUntilHomeMoves("k");
      const again = cluster.claim("k", "e2", { home: behind });
      cluster.unreachable.delete(first);
      cluster.catchUp(first);
      await sleep(STEPS_MS + MAX_RETRY_MS);
      expect(again).to.deep.equal([]);
    });

    it("asks again when an entry is removed before it has answered", async () => {
      // Guards against starts for that entry at agents that had answered before
      // its removal.
      await settle();
      cluster.claim("k", "e1");
      const home = cluster.findHome("k");
      cluster.unreachable.add("e1");
      removeHome("k");
      const others = ["a1", "a2", "a3"].filter((id) => id !== home);
      const runner = others.find((id) => id !== cluster.findHome("k"));
      const again = cluster.claim("k", "e2");
      await sleep(STEPS_MS);
      cluster.startedKeys.get(runner as string)?.set("k", "e1");
      cluster.remove(["e1"]);
      await settle();
      expect(again).to.deep.equal(["lost"]);
    });

    it("doesn't bring back a claim that was released during the takeover", async () => {
      // Guards against a key that runs for ever because a member answered
      // before the release.
      await settle();
      cluster.claim("k", "e1");
      removeHome("k");
      await sleep(STEPS_MS);
      cluster.tables.get("e1")?.release("k", "e1");
      const home = cluster.services.get(cluster.findHome("k"));
      const release = { claimId: 2, key: "k", fingerprint: "f" };
      expect(home?.handleComplete(release, "e1")).to.equal(true);
      const again = cluster.claim("k", "e2");
      await settle();
      expect(again).to.deep.equal(["granted"]);
    });

    it("doesn't trust claims of an earlier time as home", async () => {
      // Guards against a claim that was released at another home in between.
      await settle();
      cluster.claim("k", "e1");
      const joined = await cluster.addAgentsUntilHomeMoves("k");
      await sleep(STEPS_MS);
      cluster.tables.get("e1")?.release("k", "e1");
      const release = { claimId: 2, key: "k", fingerprint: "f" };
      cluster.services.get(joined)?.handleComplete(release, "e1");
      cluster.append({ type: "leave", memberId: joined, phase: "leaving" });
      const again = cluster.claim("k", "e2");
      await sleep(STEPS_MS);
      expect(again).to.deep.equal(["granted"]);
    });

    it("asks each member at most twice when many agents are removed one by one", async () => {
      // Guards against one round of calls for each removal.
      for (let n = 0; n < 20; n++) {
        cluster.addAgent(`b${n}`);
      }
      await settle();
      cluster.gatherCalls.length = 0;
      Array.from({ length: 10 }, (_, n) => cluster.remove([`b${n}`]));
      await settle();
      const counts = new Map<string, number>();
      for (const call of cluster.gatherCalls) {
        if (!cluster.unreachable.has(call.split(">")[0] as string)) {
          counts.set(call, (counts.get(call) ?? 0) + 1);
        }
      }
      expect(Math.max(...counts.values())).to.equal(2);
      expect(cluster.claim("k", "e2")).to.deep.equal(["granted"]);
    });

    it("refuses an entry that isn't a member", async () => {
      await settle();
      cluster.remove(["e1"]);
      expect(cluster.claim("k", "e1")).to.deep.equal(["held_back"]);
    });
  });

  describe("waitForHandover", () => {
    it("waits until the homes that gain the keys have got the claims", async () => {
      // Guards against a planned stop that costs the view age limit, or loses
      // claims.
      await settle();
      const home = cluster.findHome("k");
      cluster.unreachable.add(home);
      cluster.append({ type: "leave", memberId: home, phase: "leaving" });
      cluster.catchUp(home);
      let isDone = false;
      const waited = cluster.services.get(home)
        ?.waitForHandover(AbortSignal.timeout(5_000))
        .then(() => isDone = true);
      await sleep(STEPS_MS);
      expect(isDone).to.equal(false);
      cluster.unreachable.delete(home);
      await waited;
      expect(cluster.claim("k", "e1")).to.deep.equal(["granted"]);
    });
  });
});
