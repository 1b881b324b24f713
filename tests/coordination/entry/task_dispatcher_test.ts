import { expect } from "chai";
import {
  type AgentPool,
  type QuotaShares,
  TaskDispatcher,
} from "../../../src/coordination/entry/mod.ts";
import { createError } from "../../../src/state/errors/mod.ts";
import { Timeline } from "../../../src/state/timeline/mod.ts";

describe("TaskDispatcher", () => {
  describe("run", () => {
    it('doesn\'t report "not run" when aborted right after the dispatch is sent', async () => {
      // Guards against an abort in the microtasks after the dispatch is sent
      // and before p-queue's promise resolves. The dispatch must then be
      // cancelled, and only its result states whether the task ran.
      const controller = new AbortController();
      let cancels = 0;
      const link = {
        member: { id: "agent#1", services: ["echo"], slots: 8 },
        ...{ isUp: true, credits: 8, inFlight: 0 },
        dispatch: () => {
          queueMicrotask(() =>
            controller.abort(createError("cancelled", "another task failed"))
          );
          return { id: 1, result: new Promise(() => {}) };
        },
        cancel: () => cancels++,
        removeDispatch: () => {},
      };
      const pool = {
        serviceIndex: {
          getAgentIdsPerService: () => [],
          getLinks: () => [link],
          getPosition: () => 0,
          getServices: () => [],
        },
        linksWithCredits: new Set([link]),
      };
      const dispatcher = new TaskDispatcher({
        pool: pool as unknown as AgentPool,
        timeline: new Timeline("entry#1"),
        getPlacementType: () => "credits",
        quotas: { get: () => Infinity } as unknown as QuotaShares,
      });
      const task = {
        index: 0,
        body: new Uint8Array(),
        repeatable: false,
        ...{ key: "key", customer: "default", service: "echo", priority: 5 },
        order: 0,
        ...{ team: "", runTimeKey: "echo", teamWeight: 1, hedging: false },
        ...{ weight: 1, timeoutMs: 1_000, maxAttempts: 1, homeId: undefined },
      };
      const result = await dispatcher.run(task, controller.signal);
      expect(result).to.have.property("outcome", "unknown");
      expect(cancels).to.equal(1);
    });
  });
});
