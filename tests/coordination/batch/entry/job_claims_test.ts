import "../../../lib/compiled_hasher.ts";
import { setTimeout as wait } from "node:timers/promises";
import { expect } from "chai";
import type { ClaimHome } from "../../../../src/coordination/batch/entry/claim_home.ts";
import { JobClaims } from "../../../../src/coordination/batch/entry/job_claims.ts";
import { selectHomes } from "../../../../src/coordination/batch/entry/select_homes.ts";
import { BATCH_LIMITS } from "../../../../src/coordination/batch/batch_limits.ts";
import { NO_CLAIM } from "../../../../src/coordination/batch/no_claim.ts";
import type {
  JobClaim,
  JobConfirmation,
} from "../../../../src/coordination/messages/mod.ts";
import { Metrics } from "../../../../src/state/metrics/mod.ts";
import { RecordedLog } from "../../../lib/recorded_log.ts";
import { waitUntil } from "../../../lib/wait_until.ts";

const JOB_ID = "00000000000000aa";

const OTHER_ID = "00000000000000bb";

/** Time in which claims certainly notice that a home is lost, in milliseconds. */
const LOST_HOME_CHECK_MS = 50;

class FakeHome implements ClaimHome {
  streamNumber = 1;
  canKeepClaims = true;
  isConnecting = false;
  isInDoubt = false;
  hasBeenReached = true;
  entryCount = 2;
  uptimeMs = 60_000;
  proofAgeMs = 0;
  readonly claims: JobClaim[] = [];
  readonly released: string[] = [];
  readonly confirmed: number[] = [];
  replyRequests = 0;
  readonly agentId: string;
  readonly address: string;

  constructor(agentId: string) {
    this.agentId = agentId;
    this.address = `${agentId}:1`;
  }

  confirmJob({ number }: JobConfirmation): void {
    this.confirmed.push(number);
  }

  requestClaimReplies(): void {
    this.replyRequests++;
  }

  claimJob(claim: JobClaim): void {
    this.claims.push(claim);
  }

  releaseJobs(jobIds: readonly string[]): void {
    this.released.push(...jobIds);
  }
}

describe("JobClaims", () => {
  let now: number;
  let homes: FakeHome[];
  let claims: JobClaims;
  let longestWaitMs: number;
  let timer: NodeJS.Timeout;

  beforeEach(() => {
    now = 10_000;
    longestWaitMs = 0;
    homes = Array.from(
      { length: 6 },
      (_, index) => new FakeHome(`agent-${index}`),
    );
    claims = new JobClaims({
      ...{ log: new RecordedLog(), metrics: new Metrics() },
      getHomes: () => homes,
      getLongestWaitMs: () => longestWaitMs,
      getTime: () => now,
    });
    timer = setInterval(() => claims.runPeriodicChecks(), 5);
    claimJob();
  });

  afterEach(() => clearInterval(timer));

  /** Adds the job, and claims it for orders at an agent. */
  function claimJob() {
    claims.add(JOB_ID, "x");
    return claims.claimFor(JOB_ID, [new FakeHome("ordered")]);
  }

  function getAsked(): FakeHome[] {
    return homes.filter((home) => home.claims.length > 0);
  }

  function reply(home: FakeHome, outcome: "granted" | "held"): void {
    const { number } = home.claims.at(-1) as JobClaim;
    claims.handleReply(home, { jobId: JOB_ID, number, outcome, holder: "" });
  }

  /** Makes the job old, and asks whether its tasks may be placed. */
  function claimEverywhere(): boolean {
    now += BATCH_LIMITS.claimAgeMs;
    return claims.canPlace(JOB_ID);
  }

  it("lets no job be placed before its homes have granted it", () => {
    // Guards against a request that was read late, whose copy another entry has got.
    expect(claims.canPlace(JOB_ID)).to.equal(false);
    const [first, second] = getAsked() as [FakeHome, FakeHome];
    reply(first, "granted");
    expect(claims.canPlace(JOB_ID)).to.equal(false);
    reply(second, "granted");
    expect(claims.canPlace(JOB_ID)).to.equal(true);
  });

  it("wakes a job that waits as soon as its homes have granted it", async () => {
    clearInterval(timer);
    const waited = claims.wait(JOB_ID, new AbortController().signal);
    getAsked().forEach((home) => reply(home, "granted"));
    await waited;
    expect(claims.canPlace(JOB_ID)).to.equal(true);
  });

  it("does not let a job be placed that was not added", () => {
    expect(claims.canPlace(OTHER_ID)).to.equal(false);
  });

  it("claims a job at two homes, which tell the agents with its orders", () => {
    expect(getAsked()).to.have.length(2);
    for (const { claims: [claim] } of getAsked()) {
      expect(claim?.notify).to.deep.equal(["ordered:1"]);
    }
    const specs = getAsked().map(({ claims: [claim] }) => claim?.spec);
    expect(specs).to.have.members(["x", undefined]);
  });

  it("has agents wait for the homes that have not granted the job", () => {
    const need = claimJob();
    const [first, second] = getAsked() as [FakeHome, FakeHome];
    expect(need.awaitedHomes).to.equal(2);
    expect(need.claimNumber).to.equal(first.claims.at(-1)?.number);
    [first, second].forEach((home) => reply(home, "granted"));
    expect(claims.claimFor(JOB_ID, [first])).to.deep.equal(
      { claimNumber: 0, awaitedHomes: 0 },
    );
  });

  it("confirms a claim to an agent that asks, once it is granted", () => {
    // Guards against orders that wait for good when the notice of a home is lost.
    const { claimNumber: number } = claimJob();
    const agent = new FakeHome("agent-9");
    claims.handleConfirmationRequest(agent, { jobId: JOB_ID, number });
    expect(agent.confirmed).to.deep.equal([]);
    getAsked().forEach((home) => reply(home, "granted"));
    expect(agent.confirmed).to.deep.equal([number]);
  });

  it("does not confirm an earlier claim of the job", () => {
    const { claimNumber: number } = claimJob();
    claimJob();
    const agent = new FakeHome("agent-9");
    getAsked().forEach((home) => reply(home, "granted"));
    claims.handleConfirmationRequest(agent, { jobId: JOB_ID, number });
    expect(agent.confirmed).to.deep.equal([]);
  });

  it("has agents wait for a confirmation while no home can be asked", () => {
    // Guards against orders without a claim.
    homes.forEach((home) => home.canKeepClaims = false);
    expect(claims.canClaimWithOrders(JOB_ID)).to.equal(false);
    expect(claimJob().awaitedHomes).to.equal(1);
  });

  it("claims a job at further homes when one of the first has just started", () => {
    // Guards against an agent that has forgotten the claim of another entry.
    const [restarted] = getAsked() as [FakeHome];
    restarted.uptimeMs = 500;
    claimJob();
    expect(
      homes.filter(({ claims }) =>
        claims.some(({ jobId, number }) => jobId === JOB_ID && number > 1)
      ),
    ).to.have.length(3);
  });

  it("waits for a home to which the connection is being opened", async () => {
    // Guards against two entries that have just started and know other agents.
    const [connecting] = getAsked() as [FakeHome];
    connecting.canKeepClaims = false;
    connecting.isConnecting = true;
    claimJob();
    homes.filter((home) => home !== connecting && home.claims.length > 0)
      .forEach((home) => reply(home, "granted"));
    expect(claims.canPlace(JOB_ID)).to.equal(false);
    connecting.isConnecting = false;
    await waitUntil(() => getAsked().length >= 3, "another home");
    homes.filter((home) => home !== connecting && home.claims.length > 0)
      .forEach((home) => reply(home, "granted"));
    expect(claims.canPlace(JOB_ID)).to.equal(true);
  });

  it("claims a job at another home when one of the first is not reached by all entries", async () => {
    // Guards against another entry that claims the job only where this one doesn't.
    const [first] = getAsked() as [FakeHome];
    getAsked().forEach((home) => reply(home, "granted"));
    expect(claims.canPlace(JOB_ID)).to.equal(true);
    first.entryCount = 1;
    await waitUntil(() => getAsked().length === 3, "the third home");
    expect(claims.canPlace(JOB_ID)).to.equal(false);
    getAsked().forEach((home) => reply(home, "granted"));
    expect(claims.canPlace(JOB_ID)).to.equal(true);
  });

  it("claims a job at another home when a home is lost to an entry that another one regains", async () => {
    // Guards against a change of the entries' views that leaves the number of such agents equal.
    const [first] = getAsked() as [FakeHome];
    getAsked().forEach((home) => reply(home, "granted"));
    const other = homes.find((home) => home.claims.length === 0) as FakeHome;
    other.entryCount = 1;
    await wait(LOST_HOME_CHECK_MS);
    first.entryCount = 1;
    other.entryCount = 2;
    await waitUntil(() => getAsked().length >= 3, "the third home");
    expect(claims.canPlace(JOB_ID)).to.equal(false);
  });

  it("waits for two of the three first homes while other entries may reach them", async () => {
    // Guards against two entries that claim the job at different homes.
    const missing = getAsked();
    missing.forEach((home) => {
      home.canKeepClaims = false;
      home.isInDoubt = true;
    });
    await waitUntil(() => getAsked().length >= 4, "other homes");
    const others = getAsked().filter((home) => !missing.includes(home));
    others.forEach((home) => reply(home, "granted"));
    await wait(LOST_HOME_CHECK_MS);
    expect(claims.canPlace(JOB_ID)).to.equal(false);
    missing.forEach((home) => home.isInDoubt = false);
    await waitUntil(() => claims.canPlace(JOB_ID), "the claim without them");
  });

  it("does not wait for one of the three first homes", async () => {
    // Guards against jobs that wait for a lost agent though enough others are reached.
    const [missing] = getAsked() as [FakeHome];
    missing.canKeepClaims = false;
    missing.isInDoubt = true;
    await waitUntil(() => getAsked().length >= 3, "another home");
    getAsked().filter((home) => home !== missing)
      .forEach((home) => reply(home, "granted"));
    expect(claims.canPlace(JOB_ID)).to.equal(true);
  });

  it("waits while runs of lost agents may go on, if no home remembers claims", async () => {
    // Guards against a second run while the first one is known only to forgetful homes.
    homes.forEach((home) => home.uptimeMs = 0);
    const lost = homes.find((home) => !getAsked().includes(home)) as FakeHome;
    lost.canKeepClaims = false;
    lost.isInDoubt = true;
    claims.release(JOB_ID);
    claimJob();
    getAsked().forEach((home) => reply(home, "granted"));
    await wait(LOST_HOME_CHECK_MS);
    expect(claims.canPlace(JOB_ID)).to.equal(false);
    lost.isInDoubt = false;
    await waitUntil(() => claims.canPlace(JOB_ID), "the end of the doubt");
  });

  it("counts a pause of this entry as part of the age of a job that comes after it", () => {
    // Guards against a job that is older than its entry takes it for.
    longestWaitMs = BATCH_LIMITS.claimAgeMs;
    claimJob();
    expect(claims.getAgeMs(JOB_ID)).to.equal(longestWaitMs);
    expect(getAsked()[0]?.claims.at(-1)?.ageMs).to.equal(longestWaitMs);
  });

  it("claims a young job everywhere when an agent has refused an order of it", () => {
    const [home] = homes as [FakeHome];
    const reply = { jobId: JOB_ID, number: NO_CLAIM, holder: "entry-2" };
    claims.handleReply(home, { ...reply, outcome: "held" });
    expect(claims.canPlace(JOB_ID)).to.equal(false);
    expect(getAsked()).to.have.length(homes.length);
  });

  it("asks another home when one does not reply", async () => {
    reply(getAsked()[0] as FakeHome, "granted");
    await waitUntil(() => getAsked().length >= 3, "another home");
  });

  it("lets an old job be placed only with the grants of all agents", () => {
    expect(claimEverywhere()).to.equal(false);
    expect(getAsked()).to.have.length(homes.length);
    homes.slice(1).forEach((home) => reply(home, "granted"));
    expect(claims.canPlace(JOB_ID)).to.equal(false);
    reply(homes[0] as FakeHome, "granted");
    expect(claims.canPlace(JOB_ID)).to.equal(true);
  });

  it("does not wait for an agent that can't be reached", async () => {
    claimEverywhere();
    homes.slice(1).forEach((home) => reply(home, "granted"));
    (homes[0] as FakeHome).canKeepClaims = false;
    await waitUntil(() => claims.canPlace(JOB_ID), "the claim");
  });

  it("claims a job again while another entry's earlier submission is stopped", async () => {
    claimEverywhere();
    homes.forEach((home) => reply(home, "granted"));
    const [first] = homes as [FakeHome];
    reply(first, "held");
    expect(claims.canPlace(JOB_ID)).to.equal(false);
    await waitUntil(() => first.claims.length === 2, "the second claim");
    reply(first, "granted");
    expect(claims.canPlace(JOB_ID)).to.equal(true);
  });

  it("renews the claim at an agent that can be reached again", async () => {
    // Guards against a claim of another entry, which finds that agent free.
    claimEverywhere();
    homes.forEach((home) => reply(home, "granted"));
    (homes[0] as FakeHome).streamNumber++;
    await waitUntil(() => homes[0]?.claims.length === 2, "the renewal");
    expect(claims.canPlace(JOB_ID)).to.equal(false);
  });

  it("does not let a job be placed while no agent has acknowledged a recent frame", () => {
    // Guards against a paused entry that does not know of a later submission.
    claimEverywhere();
    homes.forEach((home) => reply(home, "granted"));
    homes.forEach((home) => home.proofAgeMs = 1_000);
    expect(claims.canPlace(JOB_ID)).to.equal(false);
  });

  it("releases an ended job also at an agent that is silent for a while", async () => {
    // Guards against claims that an agent keeps for good.
    claimEverywhere();
    (homes[0] as FakeHome).canKeepClaims = false;
    (homes[1] as FakeHome).streamNumber++;
    await waitUntil(() => homes[1]?.claims.length === 2, "the next check");
    claims.release(JOB_ID);
    expect(homes[0]?.released).to.deep.equal([JOB_ID]);
  });

  it("keeps the claim of a former submission when the job comes again", () => {
    // Guards against another entry that gets the job while former runs are stopped.
    const asked = getAsked();
    claims.add(JOB_ID, "x");
    asked.forEach((home) => expect(home.released).to.deep.equal([]));
    claims.release(JOB_ID);
    asked.forEach((home) => expect(home.released).to.deep.equal([JOB_ID]));
  });

  it("asks homes that have not replied for grants that they keep back", () => {
    // Guards against a declined task that waits for a grant which its home sends with a later frame.
    reply(getAsked()[0] as FakeHome, "granted");
    claims.requestReplies(JOB_ID);
    expect(getAsked().map(({ replyRequests }) => replyRequests))
      .to.deep.equal([0, 1]);
  });

  it("does not let a job be placed with one grant while other agents are lost", async () => {
    // Guards against two entries of which none reaches an agent of the other.
    const [reached, returning, ...lost] = homes as [
      FakeHome,
      FakeHome,
      ...FakeHome[],
    ];
    [returning, ...lost].forEach((home) => home.canKeepClaims = false);
    await waitUntil(() => reached.claims.length > 0, "the claim");
    reply(reached, "granted");
    await wait(LOST_HOME_CHECK_MS);
    expect(claims.canPlace(JOB_ID)).to.equal(false);
    const { length } = returning.claims;
    returning.canKeepClaims = true;
    await waitUntil(() => returning.claims.length > length, "another claim");
    reply(returning, "granted");
    expect(claims.canPlace(JOB_ID)).to.equal(true);
  });

  it("lets a job be placed with one grant when only one agent is known", () => {
    const [only] = homes as [FakeHome];
    homes = [only];
    claims.release(JOB_ID);
    claimJob();
    reply(only, "granted");
    expect(claims.canPlace(JOB_ID)).to.equal(true);
  });

  it("releases an ended job at all agents that were asked", () => {
    claimEverywhere();
    claims.release(JOB_ID);
    homes.forEach((home) => expect(home.released).to.deep.equal([JOB_ID]));
    expect(claims.canPlace(JOB_ID)).to.equal(false);
  });
});

describe("selectHomes", () => {
  const homes = Array.from(
    { length: 60 },
    (_, index) => new FakeHome(`agent-${index}`),
  );

  it("finds a common home for two entries that each can't reach another agent", () => {
    for (let job = 0; job < 200; job++) {
      const jobId = job.toString(16).padStart(16, "0");
      const [best, next] = selectHomes(jobId, homes, 2);
      const [one, two] = [best, next].map((lost) =>
        selectHomes(jobId, homes.filter((home) => home !== lost), 2)
      ) as [FakeHome[], FakeHome[]];
      expect(one.some((home) => two.includes(home))).to.equal(true);
    }
  });

  it("spreads the jobs over all agents", () => {
    const counts = new Map<string, number>();
    for (let job = 0; job < 6_000; job++) {
      const jobId = job.toString(16).padStart(16, "0");
      for (const { agentId } of selectHomes(jobId, homes, 2)) {
        counts.set(agentId, (counts.get(agentId) ?? 0) + 1);
      }
    }
    expect(counts.size).to.equal(homes.length);
    expect(Math.max(...counts.values())).to.be.lessThan(2 * 200);
  });
});
