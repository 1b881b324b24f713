import { expect } from "chai";
import { VIEW_LIMITS } from "../../../src/coordination/follower/mod.ts";
import { ANSWER, FakeCluster, sleep } from "./fake_cluster.ts";

/** Time in which a takeover polls at least twice, in milliseconds. */
const POLL_WAIT_MS = 250;

/** Longest delay before a gather call is retried, in milliseconds. */
const MAX_RETRY_DELAY_MS = 400;

describe("ClaimService", () => {
  let cluster: FakeCluster;
  beforeEach(() => cluster = new FakeCluster({ entries: 2, agents: 4 }));
  afterEach(() => cluster.stop());

  /** Removes the home of a key, and returns another key of that home. */
  function removeHome(key: string, options: { late?: string[] } = {}): string {
    const home = cluster.findHome(key);
    const unclaimedKey = findKeys(home).find((candidate) =>
      candidate !== key
    ) as string;
    cluster.remove([home], options);
    return unclaimedKey;
  }

  function findKeys(home: string): string[] {
    return Array.from({ length: 100 }, (_, n) => `k${n}`)
      .filter((key) => cluster.findHome(key) === home);
  }

  async function completeTakeovers(): Promise<void> {
    await sleep(POLL_WAIT_MS);
    cluster.now += VIEW_LIMITS.maxViewAgeMs;
    await sleep(POLL_WAIT_MS);
  }

  describe("handleClaim", () => {
    it("asks only the former homes when an agent joins", async () => {
      // Guards against a new home that grants a key whose submission runs, and
      // against calls to all members.
      await completeTakeovers();
      expect(cluster.claim("k", "e1")).to.deep.equal(["granted"]);
      const firstOutcomes = cluster.claim("k", "e2");
      await sleep(POLL_WAIT_MS);
      cluster.gatherCalls.length = 0;
      await cluster.addAgentsUntilHomeMoves("k");
      expect(firstOutcomes).to.deep.equal(["running", "moved"]);
      const outcomes = cluster.claim("k", "e2");
      await sleep(POLL_WAIT_MS);
      expect(outcomes).to.deep.equal(["running"]);
      expect(cluster.gatherCalls.filter((call) => call.includes(">e"))).to.deep
        .equal(
          [],
        );
    });

    it("waits for every member after a removal, also past the view age limit", async () => {
      // Guards against a second grant while a removed home or a slow member may
      // still know of the first one.
      await completeTakeovers();
      cluster.claim("k", "e1");
      const unclaimedKey = removeHome("k", { late: ["e1"] });
      const outcomes = cluster.claim("k", "e2");
      const otherOutcomes = cluster.claim(unclaimedKey, "e2");
      await sleep(POLL_WAIT_MS);
      cluster.now += VIEW_LIMITS.maxViewAgeMs;
      await sleep(POLL_WAIT_MS);
      expect([outcomes, otherOutcomes], "e1 has an old view").to.deep.equal([
        [],
        [],
      ]);
      cluster.catchUp("e1");
      await sleep(POLL_WAIT_MS + MAX_RETRY_DELAY_MS);
      expect([outcomes, otherOutcomes]).to.deep.equal([["running"], [
        "granted",
      ]]);
    });

    it("decides without delay when only agents were removed and all members have answered", async () => {
      // Guards against keys that can't be claimed for seconds after each loss of
      // an agent.
      await completeTakeovers();
      cluster.now += 2 * VIEW_LIMITS.maxViewAgeMs;
      const unclaimedKey = removeHome("k");
      const otherOutcomes = cluster.claim(unclaimedKey, "e2");
      // The fake clock isn't advanced, so the claim can be decided only by the
      // gather replies, which arrive in real time.
      for (
        let attempts = 0;
        attempts < 100 && otherOutcomes.length === 0;
        attempts++
      ) {
        await sleep(50);
      }
      expect(otherOutcomes).to.deep.equal(["granted"]);
    });

    it("doesn't answer before the view age limit when an entry was removed too", async () => {
      // Guards against a removed entry and a removed agent that were both
      // paused, resume, and start tasks together.
      await completeTakeovers();
      cluster.now += 2 * VIEW_LIMITS.maxViewAgeMs;
      cluster.remove(["e1"]);
      const unclaimedKey = removeHome("k");
      const otherOutcomes = cluster.claim(unclaimedKey, "e2");
      cluster.now += VIEW_LIMITS.maxViewAgeMs - 1;
      await sleep(POLL_WAIT_MS);
      expect(otherOutcomes).to.deep.equal([]);
      cluster.now += 1;
      await sleep(POLL_WAIT_MS);
      expect(otherOutcomes).to.deep.equal(["granted"]);
    });

    it("finds a stored answer at the coordinator", async () => {
      await completeTakeovers();
      cluster.claim("k", "e1");
      const coordinator = "e1";
      cluster.tables.get("e1")?.complete("k", "f", {
        coordinator,
        answer: ANSWER,
      });
      removeHome("k");
      const outcomes = cluster.claim("k", "e2");
      await completeTakeovers();
      expect(outcomes).to.deep.equal(["done"]);
    });

    it("finds a lost submission by its start records", async () => {
      // Guards against a second run after the entry and the home were lost, and
      // against keys that are held back without need.
      await completeTakeovers();
      cluster.claim("k", "e1");
      const home = cluster.findHome("k");
      const startingAgent = ["a1", "a2"].find((id) => id !== home) as string;
      cluster.startedKeys.get(startingAgent)?.set("k", "e1");
      cluster.remove(["e1"]);
      const unclaimedKey = removeHome("k");
      const outcomes = cluster.claim("k", "e2");
      const otherOutcomes = cluster.claim(unclaimedKey, "e2");
      await completeTakeovers();
      expect([outcomes, otherOutcomes]).to.deep.equal([["lost"], ["granted"]]);
    });

    it("holds keys back after the loss of an entry, the home and an agent", async () => {
      // Guards against a second run when all three members that knew the claim
      // are lost.
      await completeTakeovers();
      cluster.claim("k", "e1");
      const keyCount = findKeys(cluster.findHome("k")).length;
      expect(keyCount).to.be.greaterThan(1);
      const home = cluster.findHome("k");
      const startingAgent = ["a1", "a2"].find((id) => id !== home) as string;
      cluster.remove(["e1"]);
      cluster.remove([startingAgent]);
      cluster.remove([home]);
      const outcomes = cluster.claim("k", "e2");
      await completeTakeovers();
      expect(outcomes).to.deep.equal(["held_back"]);
      cluster.now += 600_000;
      expect(cluster.claim("k", "e2")).to.deep.equal(["granted"]);
    });

    it("holds nothing back when the other agent has rejoined", async () => {
      // Guards against keys that are held back without need: a process that is
      // announced again still has its start records.
      const startingAgent = ["a1", "a2"].find((id) =>
        id !== cluster.findHome("k")
      );
      await completeTakeovers();
      cluster.remove(["e1"]);
      cluster.remove([startingAgent as string]);
      cluster.addAgent("back", { processId: startingAgent as string });
      await completeTakeovers();
      const home = ["a1", "a2", "a3", "a4"].find((id) => id !== startingAgent);
      const [unclaimedKey = ""] = findKeys(home as string);
      cluster.remove([home as string]);
      const otherOutcomes = cluster.claim(unclaimedKey, "e2");
      await completeTakeovers();
      expect(otherOutcomes).to.deep.equal(["granted"]);
    });

    it("holds nothing back after the loss of agents alone", async () => {
      await completeTakeovers();
      const home = cluster.findHome("k");
      const startingAgent = ["a1", "a2"].find((id) => id !== home) as string;
      cluster.remove([startingAgent]);
      cluster.remove([home]);
      const outcomes = cluster.claim("k", "e2");
      await completeTakeovers();
      expect(outcomes).to.deep.equal(["granted"]);
    });

    it("asks all members when the former home hadn't completed its own takeover", async () => {
      // Guards against a lost claim when the homes change twice and the second
      // home has not got the claims of the first.
      await completeTakeovers();
      cluster.claim("k", "e1");
      const first = cluster.findHome("k");
      await sleep(POLL_WAIT_MS);
      cluster.unreachable.add(first);
      await cluster.addAgentsUntilHomeMoves("k");
      await cluster.addAgentsUntilHomeMoves("k");
      const outcomes = cluster.claim("k", "e2");
      await sleep(POLL_WAIT_MS);
      expect(outcomes).to.deep.equal([]);
      cluster.unreachable.delete(first);
      cluster.catchUp(first);
      await completeTakeovers();
      expect(outcomes).to.deep.equal(["running"]);
    });

    it("doesn't use the gather reply of a member with a newer view", async () => {
      // Guards against a home that grants a key under an old view, because the
      // reply leaves the key out.
      await completeTakeovers();
      cluster.claim("k", "e1");
      const first = cluster.findHome("k");
      cluster.unreachable.add(first);
      const outdatedHome = await cluster.addAgentsUntilHomeMoves("k");
      cluster.unreachable.add(outdatedHome);
      await cluster.addAgentsUntilHomeMoves("k");
      const outcomes = cluster.claim("k", "e2", { home: outdatedHome });
      cluster.unreachable.delete(first);
      cluster.catchUp(first);
      await sleep(POLL_WAIT_MS + MAX_RETRY_DELAY_MS);
      expect(outcomes).to.deep.equal([]);
    });

    it("asks all members again when an entry is removed before it has answered", async () => {
      // Guards against tasks of that entry that were started at agents which had
      // answered before its removal.
      await completeTakeovers();
      cluster.claim("k", "e1");
      const home = cluster.findHome("k");
      cluster.unreachable.add("e1");
      removeHome("k");
      const others = ["a1", "a2", "a3"].filter((id) => id !== home);
      const startingAgent = others.find((id) => id !== cluster.findHome("k"));
      const outcomes = cluster.claim("k", "e2");
      await sleep(POLL_WAIT_MS);
      cluster.startedKeys.get(startingAgent as string)?.set("k", "e1");
      cluster.remove(["e1"]);
      await completeTakeovers();
      expect(outcomes).to.deep.equal(["lost"]);
    });

    it("doesn't bring back a claim that was released during the takeover", async () => {
      // Guards against a key that stays in the running state for ever because a
      // member answered before the release.
      await completeTakeovers();
      cluster.claim("k", "e1");
      removeHome("k");
      await sleep(POLL_WAIT_MS);
      cluster.tables.get("e1")?.release("k", "e1");
      const home = cluster.services.get(cluster.findHome("k"));
      const release = { claimId: 2, key: "k", fingerprint: "f" };
      expect(home?.handleComplete(release, "e1")).to.equal(true);
      const outcomes = cluster.claim("k", "e2");
      await completeTakeovers();
      expect(outcomes).to.deep.equal(["granted"]);
    });

    it("doesn't use claims from an earlier period as the key's home", async () => {
      // Guards against a stale claim that was released at another home in the
      // meantime.
      await completeTakeovers();
      cluster.claim("k", "e1");
      const joined = await cluster.addAgentsUntilHomeMoves("k");
      await sleep(POLL_WAIT_MS);
      cluster.tables.get("e1")?.release("k", "e1");
      const release = { claimId: 2, key: "k", fingerprint: "f" };
      cluster.services.get(joined)?.handleComplete(release, "e1");
      cluster.append({ type: "leave", memberId: joined, phase: "leaving" });
      const outcomes = cluster.claim("k", "e2");
      await sleep(POLL_WAIT_MS);
      expect(outcomes).to.deep.equal(["granted"]);
    });

    it("asks each member at most twice when many agents are removed one by one", async () => {
      // Guards against one round of calls for each removal.
      for (let n = 0; n < 20; n++) {
        cluster.addAgent(`b${n}`);
      }
      await completeTakeovers();
      cluster.gatherCalls.length = 0;
      Array.from({ length: 10 }, (_, n) => cluster.remove([`b${n}`]));
      await completeTakeovers();
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
      await completeTakeovers();
      cluster.remove(["e1"]);
      expect(cluster.claim("k", "e1")).to.deep.equal(["held_back"]);
    });
  });

  describe("waitForHandover", () => {
    it("waits until the homes that gain the keys have fetched the claims", async () => {
      // Guards against a planned stop that delays claims by the view age limit,
      // or loses claims.
      await completeTakeovers();
      const home = cluster.findHome("k");
      cluster.unreachable.add(home);
      cluster.append({ type: "leave", memberId: home, phase: "leaving" });
      cluster.catchUp(home);
      let isDone = false;
      const waited = cluster.services.get(home)
        ?.waitForHandover(AbortSignal.timeout(5_000))
        .then(() => isDone = true);
      await sleep(POLL_WAIT_MS);
      expect(isDone).to.equal(false);
      cluster.unreachable.delete(home);
      await waited;
      expect(cluster.claim("k", "e1")).to.deep.equal(["granted"]);
    });
  });
});
