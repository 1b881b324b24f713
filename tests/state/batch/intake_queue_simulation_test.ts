/**
 * An entry with an eighth of a core, to which three kinds of requests come: the most
 * urgent ones with little slack, many less urgent ones, and few long ones. Guards
 * against an entry that serves the kind or caller that sends most, not the one
 * that needs it, when it can't handle all requests.
 */
import { expect } from "chai";
import { IntakeQueue } from "../../../src/state/batch/mod.ts";
import { TestRandom } from "../../lib/test_random.ts";

/** Kinds by priority: requests a second, slack, and time until an answer is useless. */
const KINDS = [
  { perSecond: 7, slackMs: 96, usefulMs: 560, worth: 3 },
  { perSecond: 20, slackMs: 180, usefulMs: 1_300, worth: 1 },
  { perSecond: 1.3, slackMs: 600, usefulMs: 5_100, worth: 16 },
];

/** Time of the entry: to read a request, to handle it, and to answer its job. */
const COST_MS = { read: 5, handle: 12, answer: 8 };

const LENGTH_MS = 60_000;
const CALLERS = 4;

/** In these parts of each ten seconds one kind comes at twice its rate. */
const BURSTS = [{ from: 1_000, to: 6_000, kind: 2 }, {
  from: 6_000,
  to: 9_000,
  kind: 0,
}];

interface Request {
  jobId: string;
  priority: number;
  caller: string;
  arrivedAt: number;
  latestStartAt: number;
  usefulUntil: number;
}

interface Result {
  offered: number;
  inTime: number;
  late: number;
}

type Policy = "arrival" | "queue" | "bound";

interface Load {
  /** Factor of the rates of all kinds. */
  factor: number;
  /** Part of the requests that come from the first caller. */
  floodShare: number;
}

function createRequests({ factor, floodShare }: Load): Request[] {
  const random = new TestRandom(11);
  const requests: Request[] = [];
  for (let now = 0; now < LENGTH_MS; now++) {
    for (const [priority, kind] of KINDS.entries()) {
      const isBurst = BURSTS.some(({ from, to, kind }) =>
        kind === priority && now % 10_000 >= from && now % 10_000 < to
      );
      const rate = kind.perSecond * factor * (isBurst ? 2 : 1);
      if (random.getInt(0, 999_999) < rate * 1_000) {
        const floods = random.getInt(0, 999) < floodShare * 1_000;
        requests.push({
          jobId: String(requests.length),
          priority,
          caller: String(floods ? 0 : random.getInt(1, CALLERS - 1)),
          arrivedAt: now,
          latestStartAt: now + kind.slackMs,
          usefulUntil: now + kind.usefulMs,
        });
      }
    }
  }
  return requests;
}

/**
 * Plays the entry as one server, which answers ended jobs first, then reads what has
 * come, then handles one request. `arrival` handles requests in the order in which
 * they came; `bound` knows all, and handles each one only if it will be in time, the one
 * that is worth most.
 */
function simulate(policy: Policy, requests: readonly Request[]) {
  const results = new Map<string, Result>();
  const queue = new IntakeQueue<Request>();
  let waiting: Request[] = [];
  const ends: { endsAt: number; request: Request }[] = [];
  let now = 0;
  let unread = [...requests];
  let handledAt = 0;
  let last: Request | undefined;
  for (const { priority, caller } of requests) {
    for (const key of [`kind ${priority}`, `caller ${caller}`]) {
      getResult(key).offered++;
    }
  }
  while (unread.length + waiting.length + queue.size + ends.length > 0) {
    const ended = ends.shift();
    if (ended !== undefined && ended.endsAt <= now) {
      now += COST_MS.answer;
      continue;
    }
    if (ended !== undefined) {
      ends.unshift(ended);
    }
    readRequests();
    if (last !== undefined) {
      queue.recordCost([last], now - handledAt);
      last = undefined;
    }
    const request = takeNext();
    if (request !== undefined) {
      handledAt = now;
      now += COST_MS.handle;
      last = request;
      const isInTime = now <= request.latestStartAt;
      recordAnswer(request, isInTime);
      ends.push({ endsAt: now + 50, request });
    } else if (unread.length > 0 || ends.length > 0) {
      now = Math.max(
        now,
        Math.min(unread[0]?.arrivedAt ?? Infinity, ends[0]?.endsAt ?? Infinity),
      );
    }
  }
  return results;

  function getResult(key: string): Result {
    const result = results.get(key) ?? { offered: 0, inTime: 0, late: 0 };
    results.set(key, result);
    return result;
  }

  function recordAnswer(request: Request, isInTime: boolean): void {
    const { priority, caller, usefulUntil } = request;
    for (const key of [`kind ${priority}`, `caller ${caller}`]) {
      getResult(key).inTime += isInTime ? 1 : 0;
      getResult(key).late += !isInTime && now <= usefulUntil ? 1 : 0;
    }
  }

  function readRequests(): void {
    while ((unread[0]?.arrivedAt ?? Infinity) <= now) {
      const [request, ...others] = unread as [Request, ...Request[]];
      unread = others;
      now += COST_MS.read;
      if (policy !== "queue") {
        waiting.push(request);
      } else if (
        queue.estimateWaitMs(request) <= request.usefulUntil - now
      ) {
        queue.add(request);
      }
    }
  }

  function takeNext(): Request | undefined {
    switch (policy) {
      case "queue":
        queue.takeExpired(now);
        return queue.takeNext(now);
      case "arrival":
        return waiting.shift();
      case "bound": {
        waiting = waiting.filter(({ latestStartAt }) =>
          latestStartAt >= now + COST_MS.handle
        ).sort((a, b) =>
          getWorth(b) - getWorth(a) || a.latestStartAt - b.latestStartAt
        );
        return waiting.shift();
      }
      default:
        return policy satisfies never;
    }
  }
}

function getWorth({ priority }: Request): number {
  return KINDS[priority]?.worth ?? 0;
}

/** Gets the part of the offered worth that callers got; a late answer has a fifth. */
function getWorthShare(results: ReadonlyMap<string, Result>): number {
  let offered = 0;
  let got = 0;
  for (const [priority, { worth }] of KINDS.entries()) {
    const result = results.get(`kind ${priority}`);
    offered += worth * (result?.offered ?? 0);
    got += worth * ((result?.inTime ?? 0) + 0.2 * (result?.late ?? 0));
  }
  return got / offered;
}

function getInTimeShare(
  results: ReadonlyMap<string, Result>,
  key: string,
): number {
  const { inTime = 0, offered = 1 } = results.get(key) ?? {};
  return inTime / offered;
}

function print(name: string, load: Load): Record<Policy, Map<string, Result>> {
  const requests = createRequests(load);
  const results = {
    arrival: simulate("arrival", requests),
    queue: simulate("queue", requests),
    bound: simulate("bound", requests),
  };
  for (const [policy, result] of Object.entries(results)) {
    const shares = [...result.keys()].sort()
      .map((key) => `${key} ${getInTimeShare(result, key).toFixed(2)}`);
    const worth = getWorthShare(result).toFixed(3);
    console.log(
      `      ${name}, ${policy}: worth ${worth}; ${shares.join(", ")}`,
    );
  }
  return results;
}

describe("IntakeQueue under load", () => {
  it("is not different from the order of arrival while the entry keeps up", () => {
    const { arrival, queue } = print("0.5", { factor: 0.5, floodShare: 0.25 });
    expect(getWorthShare(queue)).to.be.at.least(getWorthShare(arrival));
    expect(getInTimeShare(queue, "kind 0")).to.be.greaterThan(0.95);
  });

  for (const factor of [0.95, 1.2, 1.6]) {
    it(`serves urgent kinds first without starving others, load ${factor}`, () => {
      const load = { factor, floodShare: 0.25 };
      const { arrival, queue, bound } = print(String(factor), load);
      const getKind = (kind: number) => getInTimeShare(queue, `kind ${kind}`);
      expect(getKind(0))
        .to.be.greaterThan(1.1 * getInTimeShare(arrival, "kind 0"));
      expect(getKind(0)).to.be.at.least(getKind(1));
      expect(getKind(2)).to.be.greaterThan(0.8);
      expect(getWorthShare(queue))
        .to.be.greaterThan(getWorthShare(arrival))
        .and.greaterThan(0.85 * getWorthShare(bound));
    });
  }

  it("gives callers their share when one of them floods", () => {
    const load = { factor: 1.6, floodShare: 0.7 };
    const { arrival, queue } = print("flood 1.6", load);
    for (const caller of [1, 2, 3].map((number) => `caller ${number}`)) {
      expect(getInTimeShare(queue, caller))
        .to.be.greaterThan(2 * getInTimeShare(arrival, caller));
      expect(getInTimeShare(queue, caller))
        .to.be.greaterThan(getInTimeShare(queue, "caller 0"));
    }
  });
});
