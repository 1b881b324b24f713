import { expect } from "chai";
import { decideQueueing } from "../../../src/state/batch/mod.ts";

/** A run with 60 ms of slack. */
const RUN = { runMs: 100, targetLeftMs: 160, canBeDeclined: true };

describe("decideQueueing", () => {
  it("declines a run that would use up its slack in the queue", () => {
    expect(decideQueueing({ ...RUN, startMs: 61 }))
      .to.deep.equal({ kind: "declined", startMs: 61 });
  });

  it("queues a run whose way to another worker takes longer than its wait", () => {
    // Guards against declines that pass an entry that is behind with its messages.
    expect(decideQueueing({ ...RUN, startMs: 90, detourMs: 100 }))
      .to.include({ kind: "queued" });
    expect(decideQueueing({ ...RUN, startMs: 110, detourMs: 100 }))
      .to.include({ kind: "declined" });
  });

  it("queues a run that can wait", () => {
    expect(decideQueueing({ ...RUN, startMs: 59 }))
      .to.include({ kind: "queued" });
    expect(decideQueueing({ ...RUN, startMs: 61, targetLeftMs: 500 }))
      .to.include({ kind: "queued" });
  });

  it("queues a run that no other worker may get", () => {
    expect(decideQueueing({ ...RUN, startMs: 61, canBeDeclined: false }))
      .to.include({ kind: "queued" });
  });

  it("queues a run that starts at once, even if it will be late", () => {
    expect(decideQueueing({ ...RUN, startMs: 0, targetLeftMs: 50 }))
      .to.include({ kind: "queued" });
  });
});
