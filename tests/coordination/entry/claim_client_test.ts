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

/** The link to one home, whose replies the test gives. */
class FakeLink {
  readonly receivers: Receive[] = [];
  readonly completes: (StoredAnswer | undefined)[] = [];
  isStoring = true;

  readonly claims = {
    claim: (_key: string, _print: string, options: { receive: Receive }) => {
      this.receivers.push(options.receive);
    },
    complete: (_key: string, _print: string, answer?: StoredAnswer) => {
      this.completes.push(answer);
      return Promise.resolve(this.isStoring);
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
      // Guards against a key that its home counts as running though no entry
      // runs it.
      expect(await claim(20)).to.equal(undefined);
      await sleep(10);
      link.completes.length = 0;
      link.reply("granted");
      await sleep(10);
      expect(link.completes).to.deep.equal([undefined]);
    });

    it("takes a grant up whose reply was lost, once only", async () => {
      // Guards against an entry that waits for itself, and against two runs in
      // one entry.
      const first = claim();
      link.receivers[0]?.(undefined);
      await sleep(80);
      link.reply("running", "e1");
      expect((await first)?.outcome).to.equal("granted");
      const second = claim();
      link.reply("running", "e1");
      expect(await Promise.race([second, sleep(50)])).to.equal(undefined);
      link.reply("done", "e1");
      expect((await second)?.outcome).to.equal("done");
    });

    it("doesn't run a key again that its home has forgotten", async () => {
      // Guards against a home that was rebuilt without the claims of this
      // entry.
      const first = claim();
      link.reply("granted");
      await first;
      await client.complete("k", "f", ANSWER);
      const second = claim();
      link.reply("granted");
      expect(await second).to.include({ outcome: "done", answer: ANSWER });
    });

    it("asks the new home after a watched claim has moved", async () => {
      const waiting = claim();
      link.reply("running", "e2");
      addAgent("a2");
      apply({ type: "leave", memberId: "a1", phase: "leaving" });
      link.reply("moved");
      await sleep(80);
      links.get("a2")?.reply("lost");
      expect((await waiting)?.outcome).to.equal("lost");
    });
  });

  describe("waitForStores", () => {
    it("waits until the home has the answer", async () => {
      // Guards against a planned stop after which a done submission counts as
      // lost.
      const first = claim();
      link.reply("granted");
      await first;
      link.isStoring = false;
      void client.complete("k", "f", ANSWER);
      let isDone = false;
      const waited = client.flush(AbortSignal.timeout(5_000))
        .then(() => isDone = true);
      await sleep(80);
      expect(isDone).to.equal(false);
      link.isStoring = true;
      await waited;
      expect(link.completes.length).to.be.greaterThan(1);
    });
  });

  describe("complete", () => {
    it("stores the answer at the new home when the home has moved", async () => {
      // Guards against an answer that stays at a home which nobody asks any
      // more.
      const first = claim();
      link.reply("granted");
      await first;
      link.isStoring = false;
      const stored = client.complete("k", "f", ANSWER);
      await sleep(20);
      addAgent("a2");
      apply({ type: "leave", memberId: "a1", phase: "leaving" });
      expect(await stored).to.equal(true);
      expect(links.get("a2")?.completes).to.deep.equal([ANSWER]);
    });
  });
});
