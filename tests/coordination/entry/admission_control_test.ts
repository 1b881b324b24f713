import { expect } from "chai";
import {
  AdmissionControl,
  QuotaShares,
} from "../../../src/coordination/entry/mod.ts";
import { RunTimes } from "../../../src/coordination/entry/placement/mod.ts";
import { DispatchQueue } from "../../../src/coordination/entry/queue/mod.ts";
import { DEFAULT_RULES } from "../../../src/state/settings/mod.ts";
import { ClusterView } from "../../../src/state/view/mod.ts";

const CUSTOMERS = {
  small: { weight: 1, maxQueued: 30, teams: { t: { maxQueued: 10 } } },
  big: { weight: 3 },
};

function createAdmissionControl(options: {
  hasService?: boolean;
  wasOffered?: boolean;
  credits?: number;
} = {}) {
  const view = new ClusterView();
  view.apply({
    ...{ type: "change", id: "1", baseRevision: 0, operator: "test" },
    edits: [
      { path: "services", value: { s: {} } },
      { path: "customers", value: CUSTOMERS },
    ],
  }, 1);
  for (const n of [1, 2]) {
    view.apply({
      type: "announce",
      member: {
        ...{ id: `e${n}#1`, name: `e${n}`, role: "entry", zone: "a" },
        ...{ peerAddress: "", httpAddress: "", services: [], slots: 0 },
      },
    }, 1 + n);
  }
  const queue = new DispatchQueue({
    hasAvailableAgent: () => false,
    canPlace: () => false,
    getMaxRunning: () => Infinity,
  });
  const runTimes = new RunTimes();
  const admissionControl = new AdmissionControl({
    view,
    queue,
    runTimes,
    quotas: new QuotaShares(view),
    getRunningCount: () => 10,
    pool: {
      hasService: () => options.hasService ?? true,
      wasOffered: () => options.wasOffered ?? true,
      getCredits: () => options.credits ?? 0,
    },
  });
  const add = (customer: string, count: number, team = "") => {
    for (let n = 0; n < count; n++) {
      queue.enqueue(() => Promise.resolve(), {
        ...{
          customer,
          team,
          service: "s",
          runTimeKey: "s",
          key: "k",
          costMs: 1,
        },
        ...{ priority: 5, order: 0, weight: 1, teamWeight: 1 },
        id: `${customer}${team}${n}`,
      });
    }
  };
  const find = (
    customer: string,
    count: number,
    { team = "", deadlineMs = 60_000, service = "s" } = {},
  ) =>
    admissionControl.findRefusal({
      ...{ key: "k", fingerprint: "f", customer, team, service },
      tasks: Array.from({ length: count }, (_, index) => ({
        ...{ index, body: new Uint8Array(), repeatable: true },
      })),
      formatAnswer: () => {
        throw new Error("not called");
      },
    }, { rules: DEFAULT_RULES, deadline: performance.now() + deadlineMs })
      ?.kind;
  return { add, find, runTimes };
}

describe("AdmissionControl", () => {
  describe("findRefusal", () => {
    it("distinguishes a service that was never offered from one without upstreams in service", () => {
      const outOfService = createAdmissionControl({ hasService: false });
      expect(outOfService.find("big", 1)).to.equal("no_capacity");
      const neverOffered = createAdmissionControl({
        hasService: false,
        wasOffered: false,
      });
      expect(neverOffered.find("big", 1)).to.equal("unplaceable");
      expect(neverOffered.find("big", 1, { service: "x" })).to.equal(
        "unknown_service",
      );
      expect(neverOffered.find("nobody", 1)).to.equal("unknown_customer");
    });

    it("enforces this entry's share of the queued quotas", () => {
      // Guards against a total limit that grows with the number of entries.
      const { add, find } = createAdmissionControl();
      add("small", 10);
      expect(find("small", 5)).to.equal(undefined);
      expect(find("small", 6)).to.equal("quota_exceeded");
      expect(find("small", 6, { team: "t" })).to.equal("quota_exceeded");
      expect(find("big", 150)).to.equal(undefined);
    });

    it("doesn't count tasks for which there is a credit as queued", () => {
      expect(createAdmissionControl({ credits: 150 }).find("small", 150))
        .to.equal(undefined);
    });

    it("refuses a submission that the queue has no space for", () => {
      const { add, find } = createAdmissionControl();
      add("big", 19_900);
      expect(find("big", 100)).to.equal(undefined);
      expect(find("big", 101)).to.equal("queue_full");
    });

    it("refuses a deadline that the customer's share of the capacity can't meet", () => {
      // Guards against work that is started and then discarded under overload,
      // and against a queue of one customer that blocks the others.
      const { add, find, runTimes } = createAdmissionControl();
      for (let n = 0; n < 20; n++) {
        runTimes.record("s", "a", 100);
      }
      add("big", 1_000);
      // 10 slots complete 100 tasks per second; the small customer gets a
      // quarter of the capacity.
      expect(find("big", 1, { deadlineMs: 9_000 }))
        .to.equal("deadline_unreachable");
      expect(find("big", 1, { deadlineMs: 11_000 })).to.equal(undefined);
      expect(find("small", 10, { deadlineMs: 1_000 })).to.equal(undefined);
      expect(find("small", 10, { deadlineMs: 300 }))
        .to.equal("deadline_unreachable");
    });

    it("refuses a deadline shorter than the measured run time", () => {
      const { find, runTimes } = createAdmissionControl({ credits: 10 });
      for (let n = 0; n < 20; n++) {
        runTimes.record("s", "a", 100);
      }
      expect(find("big", 1, { deadlineMs: 50 })).to.equal(
        "deadline_unreachable",
      );
    });
  });
});
