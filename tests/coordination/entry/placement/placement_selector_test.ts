import { expect } from "chai";
import {
  type Candidate,
  createPlacementPolicy,
  type PlacementPolicy,
  type PlacementRequest,
  PlacementSelector,
  RunTimes,
} from "../../../../src/coordination/entry/placement/mod.ts";

interface FakeAgent extends Candidate {
  credits: number;
  inFlight: number;
  load: number;
  isUp: boolean;
}

function createAgent(id: string): FakeAgent {
  const member = { id, slots: 8 };
  return { member, isUp: true, credits: 1, inFlight: 0, load: 0 };
}

function createSelector(
  agents: FakeAgent[],
  options: {
    type?: PlacementPolicy["type"];
    ejected?: string[];
    probed?: string;
    waiting?: number;
  } = {},
) {
  const runTimes = new RunTimes();
  const clock = { time: 0 };
  const selector = new PlacementSelector<FakeAgent>({
    getPlacementPolicy: () => createPlacementPolicy(options.type),
    getOfferingAgents: () => agents,
    getAgentsWithCredits: () => agents.filter(({ credits }) => credits > 0),
    canPlaceOn: (id) => !options.ejected?.includes(id),
    canProbe: (id, isRepeatable) => id !== options.probed || isRepeatable,
    runTimes,
    getWaitingCount: () => options.waiting ?? 1,
    onHoldExpired: () => {},
    getTime: () => clock.time,
  });
  const select = (request: Partial<PlacementRequest> = {}) =>
    selector.select({
      ...{ service: "s", runTimeKey: "s", repeatable: false },
      ...request,
    })?.member.id;
  return { clock, runTimes, selector, select };
}

describe("PlacementSelector", () => {
  const agents = () => ["a", "b", "c"].map(createAgent);

  describe("select", () => {
    it("probes a failing agent with repeatable tasks only, and blocks no other task", () => {
      // Guards against a probe that fails a whole job, and against a task that
      // waits because its home and the probed agent are the only ones.
      const three = createSelector(agents(), { probed: "a", ejected: ["c"] });
      expect(three.select()).to.equal("b");
      expect(three.select({ homeId: "b" })).to.equal("b");
      expect(three.select({ homeId: "b", repeatable: true })).to.equal("a");
    });

    it("prefers the agent with the shortest learned run time among those with credits", () => {
      const known = agents();
      const { runTimes, select } = createSelector(known);
      runTimes.record("s", "a", 140);
      runTimes.record("s", "b", 80);
      runTimes.record("s", "c", 110);
      expect(select()).to.equal("b");
      (known[1] as FakeAgent).credits = 0;
      expect(select()).to.equal("c");
    });

    it("alternates between agents whose run times differ by chance", () => {
      // Guards against one agent that gets all tasks at low load, and others
      // whose run times are never updated.
      const known = agents();
      const { runTimes, select } = createSelector(known);
      runTimes.record("s", "a", 105);
      runTimes.record("s", "b", 100);
      runTimes.record("s", "c", 200);
      expect(select()).to.equal("a");
      known.push(known.shift() as FakeAgent);
      expect(select()).to.equal("b");
    });

    it("measures an unknown agent with one task at a time", () => {
      // Guards against a burst on a slow worker whose run time isn't known.
      const [known, unknown] = agents().slice(0, 2) as [FakeAgent, FakeAgent];
      const { runTimes, select } = createSelector([unknown, known]);
      runTimes.record("s", known.member.id, 100);
      expect(select()).to.equal("b");
      unknown.inFlight = 1;
      expect(select()).to.equal("a");
    });

    it("excludes the home and the agent of the previous attempt while another remains", () => {
      // Guards against a refused task that is placed on the same agent again,
      // and against one that waits forever.
      expect(createSelector(agents()).select({ homeId: "a", avoidId: "b" }))
        .to.equal("c");
      const two = createSelector(agents().slice(0, 2));
      expect(two.select({ homeId: "a", avoidId: "b" })).to.equal("a");
      const one = createSelector(agents().slice(0, 1));
      expect(one.select({ homeId: "a", avoidId: "a" })).to.equal("a");
    });

    it("doesn't count ejected or unreachable agents as others that could serve", () => {
      // Guards against a task that waits for agents which can't take it.
      const known = agents();
      (known[1] as FakeAgent).isUp = false;
      const { select } = createSelector(known, { ejected: ["c"] });
      expect(select({ homeId: "a" })).to.equal("a");
    });

    it("withholds the last tasks of a job from a slow worker, but not a long queue", () => {
      // Guards against a job whose last task waits for the slowest worker.
      const select = (waiting: number, heldMs: number) => {
        const [fast, slow] = agents() as [FakeAgent, FakeAgent];
        fast.credits = 0;
        fast.inFlight = 8;
        const created = createSelector([fast, slow], { waiting });
        created.runTimes.record("s", "a", 100);
        created.runTimes.record("s", "b", 500);
        expect(created.select()).to.equal(undefined);
        created.clock.time = heldMs;
        const selected = created.select();
        created.selector.stop();
        return selected;
      };
      expect(select(100, 25), "queue of 100 tasks").to.equal("b");
      expect(select(1, 499), "last task").to.equal(undefined);
      // A faster worker that hangs must not hold back the task forever.
      expect(select(1, 500)).to.equal("b");
    });

    it("uses the slow worker when no faster one is working", () => {
      const known = agents().slice(0, 2);
      (known[0] as FakeAgent).credits = 0;
      const { runTimes, select } = createSelector(known);
      runTimes.record("s", "a", 100);
      runTimes.record("s", "b", 500);
      expect(select()).to.equal("b");
    });

    it("pushes to the least loaded agent, and to no full one", () => {
      const known = agents();
      known.forEach((agent, n) => agent.load = 8 - n);
      const { select } = createSelector(known, { type: "least_loaded" });
      expect(select()).to.equal("c");
      known.forEach((agent) => agent.load = 8);
      expect(select()).to.equal(undefined);
    });
  });

  describe("hasAvailableAgent", () => {
    it("is false while no usable agent has a credit", () => {
      const known = agents();
      known.forEach((agent) => agent.credits = 0);
      expect(createSelector(known).selector.hasAvailableAgent("s")).to.equal(
        false,
      );
      const random = createSelector(known, { type: "random" });
      expect(random.selector.hasAvailableAgent("s")).to.equal(true);
    });
  });
});
