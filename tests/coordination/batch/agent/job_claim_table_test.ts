import { expect } from "chai";
import type { ClaimOwner } from "../../../../src/coordination/batch/agent/claim_owner.ts";
import { JobClaimTable } from "../../../../src/coordination/batch/agent/job_claim_table.ts";
import { BATCH_LIMITS } from "../../../../src/coordination/batch/batch_limits.ts";
import { getClaimExpiryMs } from "../../../../src/coordination/batch/get_claim_expiry_ms.ts";
import type {
  JobClaim,
  JobClaimReply,
} from "../../../../src/coordination/messages/mod.ts";
import { RecordedLog } from "../../../lib/recorded_log.ts";

const JOB_ID = "00000000000000aa";

/** Difference of arrivals from which on the later submission is the later one. */
const ARRIVAL_TOLERANCE_MS = 50;

const AGENT_ADDRESS = "10.0.0.1:1";

interface GrantNotice {
  addresses: readonly string[];
  entry: string;
  jobId: string;
  number: number;
  spec: string | undefined;
}

class FakeOwner implements ClaimOwner {
  isClosed = false;
  frameCount = 0;
  readonly cancels: string[] = [];
  readonly replies: JobClaimReply["outcome"][] = [];

  readonly name: string;
  readonly incarnation: string;

  constructor(name: string, incarnation = "i") {
    this.name = name;
    this.incarnation = incarnation;
  }

  sendCancel(jobId: string): void {
    this.cancels.push(jobId);
  }

  sendClaimReply({ outcome }: JobClaimReply): void {
    this.replies.push(outcome);
  }
}

describe("JobClaimTable", () => {
  let now: number;
  /** What agents were told of grants. */
  let notices: GrantNotice[];
  let table: JobClaimTable;
  let first: FakeOwner;
  let second: FakeOwner;
  /** The run of the job at the agent. */
  let run: { owner: FakeOwner; jobArrivedAt: number } | undefined;

  beforeEach(() => {
    now = 10_000;
    notices = [];
    run = undefined;
    table = new JobClaimTable({
      log: new RecordedLog(),
      getTime: () => now,
      findLatestRun: () => run,
      onGranted: (addresses, { owner, jobId, number, spec }) =>
        notices.push({ addresses, entry: owner.name, jobId, number, spec }),
    });
    first = new FakeOwner("entry-1");
    second = new FakeOwner("entry-2");
  });

  function claim(
    owner: ClaimOwner,
    { ageMs = 0, ...changes }: Partial<JobClaim> = {},
  ) {
    now += 10;
    const value = {
      ...{ jobId: JOB_ID, number: 1, ageMs, isDeciding: true },
      ...{ notify: [AGENT_ADDRESS], ...changes },
    };
    table.claim(owner, value, now - ageMs);
  }

  /** Runs the periodic checks of a time; `heard` sends frames meanwhile. */
  function wait(ms: number, heard: FakeOwner[] = []): void {
    for (
      let passed = 0;
      passed < ms;
      passed += BATCH_LIMITS.claimCheckIntervalMs
    ) {
      now += BATCH_LIMITS.claimCheckIntervalMs;
      heard.forEach((owner) => owner.frameCount++);
      table.runPeriodicChecks();
    }
  }

  it("grants a job to the first entry, and again on a later stream of it", () => {
    claim(first);
    const later = new FakeOwner("entry-1");
    claim(later);
    expect([first.replies, later.replies]).to.deep.equal([["granted"], [
      "granted",
    ]]);
  });

  it("keeps the later submission that waits when the holder claims again on another stream", () => {
    claim(first, { isDeciding: false, ageMs: 500 });
    claim(second, { isDeciding: false });
    const reopened = new FakeOwner("entry-1");
    claim(reopened, { isDeciding: false, ageMs: 520 });
    expect(second.cancels).to.deep.equal([]);
    table.release(reopened, [JOB_ID]);
    expect(second.replies).to.deep.equal(["held", "granted"]);
  });

  it("has the holder stop when it claims again and this agent decides for the later submission", () => {
    claim(first, { isDeciding: false, ageMs: 500 });
    claim(second, { isDeciding: false });
    const reopened = new FakeOwner("entry-1");
    claim(reopened, { isDeciding: true, ageMs: 520 });
    expect([reopened.cancels, second.cancels]).to.deep.equal([[JOB_ID], []]);
    table.release(reopened, [JOB_ID]);
    expect(second.replies).to.deep.equal(["held", "granted"]);
  });

  it("has the entry that waits stop when the holder claims a later submission", () => {
    claim(first, { isDeciding: false, ageMs: 500 });
    claim(second, { isDeciding: false });
    now += ARRIVAL_TOLERANCE_MS;
    claim(first, { isDeciding: false, number: 2 });
    expect(second.cancels).to.deep.equal([JOB_ID]);
    table.release(first, [JOB_ID]);
    expect(second.replies).to.deep.equal(["held"]);
  });

  it("grants a later submission only after the release by the former entry", () => {
    claim(first);
    claim(second);
    expect(first.cancels).to.deep.equal([JOB_ID]);
    wait(10_000, [first, second]);
    expect(second.replies).to.deep.equal(["held"]);
    table.release(first, [JOB_ID]);
    expect(second.replies).to.deep.equal(["held", "granted"]);
  });

  it("grants a later submission after the former entry's runs have expired without it", () => {
    claim(first);
    claim(second);
    wait(getClaimExpiryMs("silent") - BATCH_LIMITS.claimCheckIntervalMs, [
      second,
    ]);
    expect(second.replies).to.deep.equal(["held"]);
    wait(BATCH_LIMITS.claimCheckIntervalMs, [second]);
    expect(second.replies).to.deep.equal(["held", "granted"]);
  });

  it("grants a later submission sooner after the former entry's stream was closed", () => {
    claim(first);
    claim(second);
    first.isClosed = true;
    wait(getClaimExpiryMs("closed"), [second]);
    expect(second.replies).to.deep.equal(["held"]);
    wait(2 * BATCH_LIMITS.claimCheckIntervalMs, [second]);
    expect(second.replies).to.deep.equal(["held", "granted"]);
  });

  it("keeps the job of an entry that is silent while no other one claims it", () => {
    claim(first);
    wait(60_000);
    claim(second);
    expect(second.replies).to.deep.equal(["held"]);
  });

  it("forgets the job of an entry whose stream was closed", () => {
    claim(first);
    first.isClosed = true;
    wait(2 * getClaimExpiryMs("closed"));
    expect(table.size).to.equal(0);
  });

  it("does not take its own pause for the silence of an entry", () => {
    claim(first);
    claim(second);
    now += 60_000;
    table.runPeriodicChecks();
    expect(second.replies).to.deep.equal(["held"]);
  });

  it("cancels a job that is renewed by the entry of an earlier submission", () => {
    claim(second);
    claim(first, { ageMs: 1_300 });
    expect(first.cancels).to.deep.equal([JOB_ID]);
    expect(second.cancels).to.deep.equal([]);
  });

  it("lets an entry that was held before its job was claimed renew it nowhere", () => {
    claim(first);
    claim(second);
    const later = new FakeOwner("entry-1");
    claim(later, { ageMs: 1_300 });
    expect(later.replies).to.deep.equal([]);
    expect(later.cancels).to.deep.equal([JOB_ID]);
    table.release(later, [JOB_ID]);
    expect(second.replies).to.deep.equal(["held", "granted"]);
  });

  it("cancels the earlier submission when its runs are here", () => {
    run = { owner: first, jobArrivedAt: now - 1_400 };
    claim(second, { ageMs: 100 });
    expect(first.cancels).to.deep.equal([JOB_ID]);
    expect(second.replies).to.deep.equal(["held"]);
    run = undefined;
    claim(second, { ageMs: 100 });
    expect(second.replies).to.deep.equal(["held", "granted"]);
  });

  it("cancels the earlier submission when runs of the later one are here", () => {
    // Guards against tasks that are placed again after a pause of their entry.
    run = { owner: second, jobArrivedAt: now - 100 };
    claim(first, { ageMs: 1_400 });
    expect(first.cancels).to.deep.equal([JOB_ID]);
    expect(first.replies).to.deep.equal([]);
    expect(second.cancels).to.deep.equal([]);
  });

  it("starts no run of a claimed job for another entry", () => {
    claim(first, { ageMs: 1_300 });
    expect(table.canStart(JOB_ID, first, now - 1_300)).to.equal(true);
    expect(table.canStart(JOB_ID, second, now)).to.equal(false);
    expect(first.cancels).to.deep.equal([JOB_ID]);
    table.release(first, [JOB_ID]);
    expect(table.canStart(JOB_ID, second, now)).to.equal(true);
  });

  it("cancels an order of the earlier submission that arrives late", () => {
    claim(second);
    expect(table.canStart(JOB_ID, first, now - 1_300)).to.equal(false);
    expect(first.cancels).to.deep.equal([JOB_ID]);
    expect(second.cancels).to.deep.equal([]);
  });

  it("forgets the job of a silent entry that was asked to stop it", () => {
    claim(first);
    table.cancel(JOB_ID, second, "superseded");
    wait(getClaimExpiryMs("silent") + BATCH_LIMITS.claimCheckIntervalMs);
    expect(table.size).to.equal(0);
  });

  it("tells other entries of a job that is old enough, but not its holder", () => {
    claim(first, { ageMs: BATCH_LIMITS.openJobAgeMs - 50 });
    expect(table.findOldJobs(second)).to.deep.equal([]);
    now += 50;
    expect(table.findOldJobs(second)).to.deep.equal([JOB_ID]);
    expect(table.findOldJobs(first)).to.deep.equal([]);
  });

  it("does not take a repeated claim for that of a third entry", () => {
    claim(first, { ageMs: 1_300 });
    claim(second, { ageMs: 1_000 });
    claim(second, { ageMs: 1_020 });
    expect(second.cancels).to.deep.equal([]);
    table.release(first, [JOB_ID]);
    expect(second.replies).to.deep.equal(["held", "held", "granted"]);
  });

  it("cancels an earlier claim that waits when a third entry claims the job", () => {
    const third = new FakeOwner("entry-3");
    claim(first);
    claim(second);
    claim(third);
    expect(second.cancels).to.deep.equal([JOB_ID]);
    table.release(second, [JOB_ID]);
    table.release(first, [JOB_ID]);
    expect(second.replies).to.deep.equal(["held"]);
    expect(third.replies).to.deep.equal(["held", "granted"]);
  });

  it("grants nothing to an entry that has gone while it waited", () => {
    claim(first);
    claim(second);
    second.isClosed = true;
    wait(BATCH_LIMITS.claimCheckIntervalMs, [first]);
    table.release(first, [JOB_ID]);
    expect(table.size).to.equal(0);
  });

  it("leaves the decision between two entries to the home that decides", () => {
    // Guards against two agents of which each has another entry give the job up.
    claim(first, { isDeciding: false });
    claim(second, { isDeciding: false });
    expect(first.cancels).to.deep.equal([]);
    expect(second.cancels).to.deep.equal([]);
    expect(table.canStart(JOB_ID, second, now)).to.equal(false);
    expect(first.cancels).to.deep.equal([]);
    table.release(first, [JOB_ID]);
    expect(second.replies.at(-1)).to.equal("granted");
  });

  it("does not take a restarted process for the entry that holds the job", () => {
    claim(first);
    const restarted = new FakeOwner("entry-1", "j");
    claim(restarted);
    expect(restarted.replies).to.deep.equal(["held"]);
  });

  it("notifies the agents of a claim that is granted at once", () => {
    const notify = [AGENT_ADDRESS, "10.0.0.2:1"];
    claim(first, { number: 3, notify, spec: "x" });
    expect(notices).to.deep.equal([{
      ...{ addresses: notify, entry: "entry-1" },
      ...{ jobId: JOB_ID, number: 3, spec: "x" },
    }]);
  });

  it("notifies the agents of a later submission only when it is granted", () => {
    // Guards against runs of the later submission while those of the former go on.
    claim(first, { number: 3 });
    const notify = ["10.0.0.2:1"];
    claim(second, { number: 5, notify, spec: "y" });
    expect(notices.map(({ entry }) => entry)).to.deep.equal(["entry-1"]);
    table.release(first, [JOB_ID]);
    expect(notices.slice(1)).to.deep.equal([{
      ...{ addresses: notify, entry: "entry-2" },
      ...{ jobId: JOB_ID, number: 5, spec: "y" },
    }]);
  });

  it("notifies the agents of a claim that is granted when the former holder has expired", () => {
    claim(first, { notify: [] });
    claim(second);
    first.isClosed = true;
    wait(2 * getClaimExpiryMs("closed"), [second]);
    expect(notices.map(({ entry }) => entry)).to.deep.equal(["entry-2"]);
  });

  it("notifies the agents of the latest claim that waits, not of an earlier one", () => {
    // Guards against orders that are started on a claim which the entry has replaced.
    claim(first, { notify: [] });
    claim(second, { number: 5, notify: ["10.0.0.2:1"] });
    claim(second, { number: 6, notify: ["10.0.0.3:1"] });
    table.release(first, [JOB_ID]);
    expect(notices.map(({ number, addresses }) => ({ number, addresses })))
      .to.deep.equal([{ number: 6, addresses: ["10.0.0.3:1"] }]);
  });

  it("notifies the agents of a renewed claim, and of none that it doesn't grant", () => {
    claim(first, { number: 1 });
    claim(first, { number: 2 });
    claim(second, { number: 1, ageMs: 1_300 });
    expect(notices.map(({ entry, number }) => [entry, number])).to.deep.equal(
      [["entry-1", 1], ["entry-1", 2]],
    );
  });

  it("notifies nobody of a claim without waiting agents", () => {
    claim(first, { notify: [] });
    expect(notices).to.deep.equal([]);
  });

  /** Claims the job for two submissions, and returns which entry is cancelled. */
  function getCancelled(
    submissions: readonly { owner: FakeOwner; arrivedAt: number }[],
  ): string[] {
    const value = {
      ...{ jobId: JOB_ID, number: 1, ageMs: 0, isDeciding: true, notify: [] },
    };
    for (const { owner, arrivedAt } of submissions) {
      table.claim(owner, value, arrivedAt);
    }
    return submissions.map(({ owner }) => owner)
      .filter(({ cancels }) => cancels.length > 0).map(({ name }) => name);
  }

  for (
    const [afterMs, cancelled] of [
      [-ARRIVAL_TOLERANCE_MS, "entry-2"],
      [-ARRIVAL_TOLERANCE_MS + 1, "entry-1"],
      [0, "entry-1"],
      [ARRIVAL_TOLERANCE_MS - 1, "entry-1"],
      [ARRIVAL_TOLERANCE_MS, "entry-1"],
    ] as const
  ) {
    for (const isReversed of [false, true]) {
      const order = isReversed ? "before" : "after";
      it(`cancels ${cancelled} when the second submission came ${afterMs} ms after the first, and its claim ${order} that`, () => {
        // Guards against two homes that each grant the job to another entry for good.
        const submissions = [
          { owner: first, arrivedAt: now },
          { owner: second, arrivedAt: now + afterMs },
        ];
        expect(
          getCancelled(isReversed ? submissions.toReversed() : submissions),
        ).to.deep.equal([cancelled]);
      });
    }
  }

  it("orders two submissions that came at about the same time alike when one has runs here", () => {
    // Guards against an agent that disagrees with the homes on the later submission.
    run = { owner: second, jobArrivedAt: now };
    claim(first, { ageMs: 0 });
    expect(first.cancels).to.deep.equal([JOB_ID]);
    run = { owner: first, jobArrivedAt: now + 30 };
    claim(second, { ageMs: 0 });
    expect(second.replies).to.deep.equal(["held"]);
    expect(first.cancels).to.deep.equal([JOB_ID, JOB_ID]);
  });

  it("orders two submissions that came at about the same time alike for their orders", () => {
    claim(second);
    expect(table.canStart(JOB_ID, first, now + 30)).to.equal(false);
    expect(first.cancels).to.deep.equal([JOB_ID]);
    expect(second.cancels).to.deep.equal([]);
  });
});
