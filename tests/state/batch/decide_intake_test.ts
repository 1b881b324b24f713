import { expect } from "chai";
import { decideIntake } from "../../../src/state/batch/mod.ts";
import { TestRandom } from "../../lib/test_random.ts";

/** Kinds of jobs, with their arrivals per second and latency targets. */
const JOB_KINDS = [
  { perSecond: 15, runMs: 86, targetMs: 198 },
  { perSecond: 3, runMs: 1_286, targetMs: 2_118 },
  { perSecond: 42, runMs: 286, targetMs: 518 },
];

/** Times that an entry with a tenth of a core needs, in milliseconds. */
const COST_MS = { place: 14, answer: 10, refuse: 4 };

const ARRIVAL_PERIOD_MS = 20_000;
const CLIENT_TIMEOUT_MS = 1_500;

interface Work {
  kind: "request" | "end";
  readyAt: number;
  arrivedAt: number;
  job: (typeof JOB_KINDS)[number];
}

/**
 * Simulates an entry as one server that takes all the work that is ready in one
 * turn of its event loop, in order. The workers always have room.
 */
function simulate(policy: "product" | "naive") {
  const random = new TestRandom(5);
  let waiting: Work[] = [];
  for (let now = 0; now < ARRIVAL_PERIOD_MS; now++) {
    for (const job of JOB_KINDS) {
      if (random.getInt(0, 999) < job.perSecond) {
        waiting.push({ kind: "request", readyAt: now, arrivedAt: now, job });
      }
    }
  }
  const jobCount = waiting.length;
  const answers = { inTime: 0, served: 0, refused: 0 };
  const refusalDelaysMs: number[] = [];
  let now = 0;
  let previousTurnMs = 0;
  let turnMs = 0;
  while (waiting.length > 0) {
    const ready = waiting.filter(({ readyAt }) => readyAt <= now);
    if (ready.length === 0) {
      now = Math.min(...waiting.map(({ readyAt }) => readyAt));
      turnMs = 0;
      continue;
    }
    waiting = waiting.filter(({ readyAt }) => readyAt > now);
    const turnStartedAt = now;
    for (const work of ready) {
      const delayMs = Math.max(
        Math.min(previousTurnMs, turnMs),
        Math.min(turnMs, now - turnStartedAt),
      );
      handleWork(work, delayMs);
    }
    previousTurnMs = turnMs;
    turnMs = now - turnStartedAt;
  }
  refusalDelaysMs.sort((a, b) => a - b);
  return {
    inTime: answers.inTime / jobCount,
    served: answers.served / jobCount,
    refused: answers.refused / jobCount,
    refusalP95Ms: refusalDelaysMs[Math.floor(0.95 * refusalDelaysMs.length)] ??
      0,
  };

  function handleWork(work: Work, delayMs: number): void {
    const { job, arrivedAt } = work;
    if (work.kind === "end") {
      now += COST_MS.answer;
      const tookMs = now - arrivedAt;
      answers.inTime += tookMs <= job.targetMs ? 1 : 0;
      answers.served += tookMs <= CLIENT_TIMEOUT_MS + job.runMs ? 1 : 0;
      return;
    }
    const slackMs = job.targetMs - job.runMs;
    const decision = decideIntake({ delayMs, slackMs });
    if (policy === "product" && decision.kind === "refused") {
      now += COST_MS.refuse;
      answers.refused++;
      refusalDelaysMs.push(now - arrivedAt);
      return;
    }
    now += COST_MS.place;
    waiting.push({ ...work, kind: "end", readyAt: now + job.runMs });
  }
}

describe("decideIntake", () => {
  it("accepts all jobs of an entry that keeps up", () => {
    for (const slackMs of [60, 1_000]) {
      const decision = decideIntake({ delayMs: 100, slackMs });
      expect(decision.kind).to.equal("accepted");
    }
  });

  it("refuses jobs that would miss their target through the delay, and others not", () => {
    const refused = decideIntake({ delayMs: 200, slackMs: 110 });
    const accepted = decideIntake({ delayMs: 200, slackMs: 800 });
    expect([refused.kind, accepted.kind]).to.deep.equal([
      "refused",
      "accepted",
    ]);
  });

  it("spreads the retries of refused clients", () => {
    const retries = [0, 0.5, 0.99].map((random) => {
      const decision = decideIntake({
        delayMs: 1_000,
        slackMs: 10_000,
        getRandom: () => random,
      });
      return decision.kind === "refused" ? decision.retryAfterMs : 0;
    });
    expect(retries).to.deep.equal([1_000, 2_000, 2_980]);
  });

  it("keeps an entry at a tenth of a core serving under 1.4 times its load", () => {
    const naive = simulate("naive");
    const product = simulate("product");
    console.log(`      ${JSON.stringify({ naive, product })}`);
    expect(naive.served).to.be.lessThan(0.25);
    expect(product.served).to.be.greaterThan(0.5);
    expect(product.inTime).to.be.greaterThan(3 * naive.inTime);
    expect(product.refusalP95Ms).to.be.lessThan(1_000);
  });
});
