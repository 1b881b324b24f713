import { expect } from "chai";
import {
  DispatchQueue,
  type EnqueueOptions,
} from "../../../src/coordination/entry/queue/mod.ts";

interface Started {
  customer: string;
  team: string;
  key: string;
}

function createQueue(options: {
  hasAvailableAgent?: (service: string) => boolean;
  canPlace?: (task: EnqueueOptions) => boolean;
  getMaxRunning?: (customer: string, team?: string) => number;
} = {}) {
  const started: Started[] = [];
  const queue = new DispatchQueue({
    hasAvailableAgent: () => true,
    canPlace: () => true,
    getMaxRunning: () => Infinity,
    ...options,
  });
  let nextId = 0;
  const add = (task: Partial<EnqueueOptions>) => {
    const all: EnqueueOptions = {
      ...{ key: "job", customer: "c", team: "", service: "s", runTimeKey: "s" },
      ...{ priority: 5, order: 0, weight: 1, teamWeight: 1, costMs: 100 },
      repeatable: false,
      ...task,
      id: task.id ?? `task-${nextId++}`,
    };
    const { customer, team, key } = all;
    queue.enqueue(() => {
      started.push({ customer, team, key });
      queue.addRunning(customer, team);
      return Promise.resolve();
    }, all);
  };
  const start = (count: number) => {
    for (let n = 0; n < count && queue.size > 0; n++) {
      void queue.dequeue()?.();
    }
    return started;
  };
  return { queue, add, start };
}

function addMany(
  add: (task: Partial<EnqueueOptions>) => void,
  count: number,
  task: Partial<EnqueueOptions>,
): void {
  for (let n = 0; n < count; n++) {
    add(task);
  }
}

describe("DispatchQueue", () => {
  describe("dequeue", () => {
    it("shares slot time by weight between customers, and then between teams", () => {
      // Guards against a customer with a long queue or long tasks that pushes
      // the others out.
      const { add, start } = createQueue();
      addMany(add, 500, { customer: "a", weight: 3, team: "x", teamWeight: 2 });
      addMany(add, 500, { customer: "a", weight: 3, team: "y" });
      addMany(add, 500, { customer: "b", costMs: 200 });
      const started = start(210);
      const count = (part: Partial<Started>) =>
        started.filter((task) =>
          Object.entries(part).every(([name, value]) =>
            task[name as keyof Started] === value
          )
        ).length;
      // Weight 3 with tasks of 100 ms against weight 1 with 200 ms: six tasks
      // to one.
      expect(count({ customer: "b" })).to.be.within(29, 31);
      expect(count({ team: "x" })).to.be.within(119, 121);
    });

    it("gives no credit for an idle time", () => {
      // Guards against a customer that returns after an hour and gets every
      // slot for a while.
      const { add, start } = createQueue();
      addMany(add, 1_000, { customer: "busy" });
      start(500);
      addMany(add, 100, { customer: "late" });
      const started = start(100).slice(500);
      expect(started.filter(({ customer }) => customer === "late").length)
        .to.be.within(49, 51);
    });

    it("starts the higher priority first, and else the lower order", () => {
      const { add, start } = createQueue();
      add({ key: "new", order: 3 });
      add({ key: "old", order: 2 });
      add({ key: "newer", order: 3 });
      add({ key: "urgent", order: 4, priority: 9 });
      add({ key: "again", order: 1, avoidId: "agent" });
      add({ key: "other", order: 2.5, service: "t" });
      expect(start(6).map(({ key }) => key)).to.deep.equal(
        ["urgent", "again", "old", "other", "new", "newer"],
      );
    });

    it("lets tasks pass others that no agent can take now", () => {
      // Guards against head-of-line blocking by a service without capacity, and
      // by the home's exclusion.
      const { add, start, queue } = createQueue({
        hasAvailableAgent: (service) => service !== "full",
        canPlace: ({ homeId }) => homeId !== "only-agent",
      });
      addMany(add, 100, { key: "full", service: "full" });
      addMany(add, 100, { key: "home", homeId: "only-agent" });
      add({ key: "free" });
      expect(start(10).map(({ key }) => key)).to.deep.equal(["free"]);
      expect(queue.size).to.equal(0);
      expect(queue.waiting).to.equal(200);
    });

    it("starts no more tasks of a customer or team than its quota", () => {
      const { add, start, queue } = createQueue({
        getMaxRunning: (_, team) => team === undefined ? 5 : 2,
      });
      addMany(add, 10, { team: "x" });
      addMany(add, 10, { team: "y" });
      expect(start(20)).to.have.length(4);
      queue.releaseRunning("c", "x");
      expect(start(20)).to.have.length(5);
    });
  });

  describe("getWantedByService", () => {
    it("counts only tasks that the quotas let run", () => {
      // Guards against an entry that takes credits from others for tasks that
      // it must not start.
      const { add, start, queue } = createQueue({
        getMaxRunning: (_, team) => team === undefined ? 5 : 4,
      });
      addMany(add, 10, { team: "x" });
      expect([...queue.getRunnableByService()]).to.deep.equal([["s", 4]]);
      addMany(add, 10, { team: "y", service: "t" });
      expect([...queue.getRunnableByService()])
        .to.deep.equal([["s", 4], ["t", 1]]);
      start(20);
      expect(queue.getRunnableByService().get("s")).to.equal(0);
    });
  });

  describe("remove", () => {
    it("removes waiting tasks and keeps the counts right", () => {
      // Guards against a cancellation wave that leaves ghosts in the queue.
      const { add, start, queue } = createQueue();
      for (let n = 0; n < 3_000; n++) {
        add({ id: `t${n}`, key: `job-${n % 20}` });
      }
      for (let n = 0; n < 3_000; n++) {
        if (n !== 1_234) {
          queue.remove(`t${n}`);
        }
      }
      expect(queue.waiting).to.equal(1);
      expect(queue.waitingByService.get("s")).to.equal(1);
      expect(start(10)).to.have.length(1);
      expect(queue.waitingByService.size).to.equal(0);
    });
  });
});
