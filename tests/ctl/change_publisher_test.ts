import { expect } from "chai";
import { LogFollower } from "../../src/coordination/follower/mod.ts";
import { ChangePublisher } from "../../src/ctl/change_publisher.ts";
import { LogStandIn } from "../../src/stand_in/mod.ts";
import { type ChangeRecord, ClusterView } from "../../src/state/view/mod.ts";
import { HttpLogService } from "../../src/transport/log/mod.ts";

function createChange(id: string, baseRevision = 0): ChangeRecord {
  const edits = [{ path: "rules.priority", value: 3 }];
  return { type: "change", id, baseRevision, operator: "test", edits };
}

describe("ChangePublisher", () => {
  let standIn: LogStandIn;
  let log: HttpLogService;
  let address: string;

  beforeEach(async () => {
    standIn = new LogStandIn();
    address = `127.0.0.1:${await standIn.start()}`;
    log = new HttpLogService(address);
  });
  afterEach(() => standIn.stop());

  function createPublisher(timeoutMs = 5_000): ChangePublisher {
    const follower = new LogFollower({
      view: new ClusterView(),
      log,
      zone: "",
    });
    return new ChangePublisher({ log, follower, timeoutMs });
  }

  async function setFaults(faults: object): Promise<void> {
    const body = JSON.stringify(faults);
    await fetch(`http://${address}/v1/faults`, { method: "PUT", body });
  }

  it("finds a change whose reply was lost, and appends it only once", async () => {
    // Guards against a retry that appends the change again without reading the
    // log first, and against reporting "unknown" for a change that was
    // accepted.
    await setFaults({ lostReplies: 1 });
    const outcome = await createPublisher().publish(createChange("a"));
    expect(outcome._unsafeUnwrap()).to.deep.equal({
      type: "accepted",
      revision: 1,
    });
    expect((await log.read(1, 10))._unsafeUnwrap().head).to.equal(1);
  });

  it("tells the rejected one of two concurrent operators which revision was accepted", async () => {
    const outcomes = await Promise.all([
      createPublisher().publish(createChange("a")),
      createPublisher().publish(createChange("b")),
    ]);
    const [rejected] = outcomes.map((outcome) => outcome._unsafeUnwrap())
      .filter(({ type }) => type === "rejected");
    expect(rejected).to.include({ type: "rejected", winner: 1 });
  });

  it("says that nothing was published when the log was never reached", async () => {
    await setFaults({ isDown: true });
    const outcome = await createPublisher(300).publish(createChange("a"));
    expect(outcome._unsafeUnwrapErr().kind).to.equal("log_unreachable");
  });

  it("gives a repeated command the outcome of the first", async () => {
    // Guards against a change that is published again after "unknown" and is
    // rejected as a conflict with its own first record.
    await createPublisher().publish(createChange("a"));
    const again = await createPublisher().publish(createChange("a"));
    expect(again._unsafeUnwrap()).to.include({ type: "accepted", revision: 1 });
    expect((await log.read(1, 10))._unsafeUnwrap().head).to.equal(1);
  });
});
