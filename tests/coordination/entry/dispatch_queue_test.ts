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
    const enqueueOptions: EnqueueOptions = {
      ...{ key: "job", customer: "c", team: "", service: "s", runTimeKey: "s" },
      ...{ priority: 5, order: 0, weight: 1, teamWeight: 1, costMs: 100 },
      repeatable: false,
      ...task,
      id: task.id ?? `task-${nextId++}`,
    };
    const { customer, team, key } = enqueueOptions;
    queue.enqueue(() => {
      started.push({ customer, team, key });
      queue.addRunning(customer, team);
      return Promise.resolve();
    }, enqueueOptions);
  };
  const start = (count: number) => {
    for (let n = 0; n < count && queue.size > 0; n++) {
      void queue.dequeue()?.();
    }
    return started;
  };
  return { queue, add, start };
}

function addTasks(
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
    it("divides slot time by weight between customers, then between their teams", () => {
      // Guards against a customer with a long queue or long tasks that starves
      // the others.
      const { add, start } = createQueue();
      addTasks(add, 500, {
        customer: "a",
        weight: 3,
        team: "x",
        teamWeight: 2,
      });
      addTasks(add, 500, { customer: "a", weight: 3, team: "y" });
      addTasks(add, 500, { customer: "b", costMs: 200 });
      const started = start(210);
      const count = (fields: Partial<Started>) =>
        started.filter((task) =>
          Object.entries(fields).every(([name, value]) =>
            task[name as keyof Started] === value
          )
        ).length;
      // Weight 3 with tasks of 100 ms and weight 1 with tasks of 200 ms give a
      // ratio of six tasks to one.
      expect(count({ customer: "b" })).to.be.within(29, 31);
      expect(count({ team: "x" })).to.be.within(119, 121);
    });

    it("doesn't compensate a customer for idle time", () => {
      // Guards against a customer that gets every slot for some time after it
      // was idle for an hour.
      const { add, start } = createQueue();
      addTasks(add, 1_000, { customer: "busy" });
      start(500);
      addTasks(add, 100, { customer: "late" });
      const started = start(100).slice(500);
      expect(started.filter(({ customer }) => customer === "late").length)
        .to.be.within(49, 51);
    });

    it("starts tasks by descending priority, then by ascending order", () => {
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

    it("starts tasks ahead of others that no agent can take", () => {
      // Guards against head-of-line blocking by a service without capacity, and
      // by tasks that can't be placed on the home of their key.
      const { add, start, queue } = createQueue({
        hasAvailableAgent: (service) => service !== "full",
        canPlace: ({ homeId }) => homeId !== "only-agent",
      });
      addTasks(add, 100, { key: "full", service: "full" });
      addTasks(add, 100, { key: "home", homeId: "only-agent" });
      add({ key: "free" });
      expect(start(10).map(({ key }) => key)).to.deep.equal(["free"]);
      expect(queue.size).to.equal(0);
      expect(queue.waiting).to.equal(200);
    });

    it("starts no more tasks of a customer or team than its quota allows", () => {
      const { add, start, queue } = createQueue({
        getMaxRunning: (_, team) => team === undefined ? 5 : 2,
      });
      addTasks(add, 10, { team: "x" });
      addTasks(add, 10, { team: "y" });
      expect(start(20)).to.have.length(4);
      queue.releaseRunning("c", "x");
      expect(start(20)).to.have.length(5);
    });
  });

  describe("getRunnableByService", () => {
    it("counts only tasks that the quotas allow to run", () => {
      // Guards against an entry that takes credits from other entries for tasks
      // that the quotas don't allow it to start.
      const { add, start, queue } = createQueue({
        getMaxRunning: (_, team) => team === undefined ? 5 : 4,
      });
      addTasks(add, 10, { team: "x" });
      expect([...queue.getRunnableByService()]).to.deep.equal([["s", 4]]);
      addTasks(add, 10, { team: "y", service: "t" });
      expect([...queue.getRunnableByService()])
        .to.deep.equal([["s", 4], ["t", 1]]);
      start(20);
      expect(queue.getRunnableByService().get("s")).to.equal(0);
    });
  });

  describe("remove", () => {
    it("removes waiting tasks and updates the counts", () => {
      // Guards against removed tasks that stay in the queue after many
      // cancellations at once.
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
