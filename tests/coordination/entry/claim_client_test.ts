import { expect } from "chai";
import { ClaimClient } from "../../../src/coordination/entry/mod.ts";
import { LogFollower } from "../../../src/coordination/follower/mod.ts";
import type {
  ClaimReply,
  StoredAnswer,
} from "../../../src/coordination/messages/mod.ts";
import { HomeFinder } from "../../../src/state/homes/mod.ts";
import { ClusterView, type LogRecord } from "../../../src/state/view/mod.ts";
import { ANSWER, sleep } from "../claims/fake_cluster.ts";

type Receive = (reply: ClaimReply | undefined) => void;

/** Link to one home; the test supplies the replies. */
class FakeLink {
  readonly receivers: Receive[] = [];
  readonly completes: (StoredAnswer | undefined)[] = [];
  confirmsStores = true;

  readonly claims = {
    claim: (
      _key: string,
      _fingerprint: string,
      options: { receive: Receive },
    ) => {
      this.receivers.push(options.receive);
    },
    complete: (_key: string, _fingerprint: string, answer?: StoredAnswer) => {
      this.completes.push(answer);
      return Promise.resolve(this.confirmsStores);
    },
  };

  reply(outcome: string, coordinator = ""): void {
    this.receivers.at(-1)?.({ claimId: 1, outcome, coordinator, clock: 0 });
  }
}

describe("ClaimClient", () => {
  const view = new ClusterView();
  const homes = new HomeFinder(view);
  const links = new Map<string, FakeLink>();
  let client: ClaimClient;
  let link: FakeLink;

  beforeEach(() => {
    for (const memberId of ["a1", "a2"]) {
      apply({ type: "leave", memberId, phase: "left" });
    }
    addAgent("a1");
    link = links.get("a1") as FakeLink;
    const log = {} as ConstructorParameters<typeof LogFollower>[0]["log"];
    client = new ClaimClient({
      memberId: "e1",
      follower: new LogFollower({ view, log, zone: "z" }),
      homes,
      pool: { getOrOpenLink: (id) => links.get(id) as never },
    });
  });
  afterEach(() => client.stop());

  function apply(record: LogRecord): void {
    view.apply(record, view.offset + 1);
  }

  function addAgent(id: string): void {
    links.set(id, new FakeLink());
    const member = { id, name: id, role: "agent" as const, zone: "z" };
    const address = { peerAddress: "", httpAddress: "" };
    apply({
      type: "announce",
      member: { ...member, ...address, services: [], slots: 1 },
    });
  }

  function claim(deadlineMs = 5_000) {
    return client.claim("k", "f", {
      deadline: performance.now() + deadlineMs,
    });
  }

  describe("claim", () => {
    it("releases a claim that is granted after the deadline", async () => {
      // Guards against a key that stays claimed as running although no entry
      // runs it.
      expect(await claim(20)).to.equal(undefined);
      await sleep(10);
      link.completes.length = 0;
      link.reply("granted");
      await sleep(10);
      expect(link.completes).to.deep.equal([undefined]);
    });

    it("accepts a grant whose reply was lost, but only once", async () => {
      // Guards against an entry that waits for its own submission, and against
      // running a submission twice at one entry.
      const firstClaim = claim();
      link.receivers[0]?.(undefined);
      await sleep(80);
      link.reply("running", "e1");
      expect((await firstClaim)?.outcome).to.equal("granted");
      const secondClaim = claim();
      link.reply("running", "e1");
      expect(await Promise.race([secondClaim, sleep(50)])).to.equal(undefined);
      link.reply("done", "e1");
      expect((await secondClaim)?.outcome).to.equal("done");
    });

    it("doesn't run a submission again whose claim its home has lost", async () => {
      // Guards against a home that was rebuilt without the claims of this
      // entry.
      const firstClaim = claim();
      link.reply("granted");
      await firstClaim;
      await client.complete("k", "f", ANSWER);
      const secondClaim = claim();
      link.reply("granted");
      expect(await secondClaim).to.include({ outcome: "done", answer: ANSWER });
    });

    it("claims the key at the new home when the old one replies that it has moved", async () => {
      const claimed = claim();
      link.reply("running", "e2");
      addAgent("a2");
      apply({ type: "leave", memberId: "a1", phase: "leaving" });
      link.reply("moved");
      await sleep(80);
      links.get("a2")?.reply("lost");
      expect((await claimed)?.outcome).to.equal("lost");
    });
  });

  describe("flush", () => {
    it("waits until the home has confirmed the answer", async () => {
      // Guards against a planned stop after which a completed submission counts
      // as lost.
      const firstClaim = claim();
      link.reply("granted");
      await firstClaim;
      link.confirmsStores = false;
      void client.complete("k", "f", ANSWER);
      let isFlushed = false;
      const flushed = client.flush(AbortSignal.timeout(5_000))
        .then(() => isFlushed = true);
      await sleep(80);
      expect(isFlushed).to.equal(false);
      link.confirmsStores = true;
      await flushed;
      expect(link.completes.length).to.be.greaterThan(1);
    });
  });

  describe("complete", () => {
    it("stores the answer at the new home after the key's home has changed", async () => {
      // Guards against an answer that is stored only at the previous home,
      // where later claims don't look for it.
      const firstClaim = claim();
      link.reply("granted");
      await firstClaim;
      link.confirmsStores = false;
      const stored = client.complete("k", "f", ANSWER);
      await sleep(20);
      addAgent("a2");
      apply({ type: "leave", memberId: "a1", phase: "leaving" });
      expect(await stored).to.equal(true);
      expect(links.get("a2")?.completes).to.deep.equal([ANSWER]);
    });
  });
});
