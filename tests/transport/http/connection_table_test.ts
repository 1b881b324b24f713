import { expect } from "chai";
import type { ConnectionActivity } from "../../../src/transport/http/connection_activity.ts";
import type { ConnectionState } from "../../../src/transport/http/connection_state.ts";
import { ConnectionTable } from "../../../src/transport/http/connection_table.ts";

const LIMITS = { header: 3, bodyIdle: 5, body: 10, unread: 8 } as const;

class FakeConnection implements ConnectionState {
  requestCount = 0;
  servedCount = 0;
  progress = 0;
  activity: ConnectionActivity;
  readonly name: string;

  constructor(name: string, activity: ConnectionActivity, servedCount = 0) {
    this.name = name;
    this.activity = activity;
    this.servedCount = servedCount;
  }

  getActivity(): ConnectionActivity {
    return this.activity;
  }

  getProgress(): number {
    return this.progress;
  }
}

/** The load: clients that hold connections and requests up. */
describe("ConnectionTable", () => {
  let table: ConnectionTable<FakeConnection>;

  beforeEach(() => table = new ConnectionTable());

  function addConnection(
    name: string,
    activity: ConnectionActivity,
    servedCount = 0,
  ): FakeConnection {
    const connection = new FakeConnection(name, activity, servedCount);
    table.add(connection);
    return connection;
  }

  /** Returns the number of the check in which each connection is first overdue. */
  function findOverdueChecks(
    checks: number,
    change: () => void = () => {},
  ): Record<string, number> {
    const found: Record<string, number> = {};
    for (let check = 1; check <= checks; check++) {
      change();
      for (const { connection } of table.findOverdue(LIMITS)) {
        found[connection.name] ??= check;
      }
    }
    return found;
  }

  it("finds requests that stay incomplete and responses that stay unread", () => {
    // Guards against clients that hold a connection for as long as they like.
    addConnection("header", "header");
    addConnection("body", "body");
    addConnection("unread", "unread");
    expect(findOverdueChecks(20)).to.deep.equal({
      ...{ header: 4, body: 6, unread: 9 },
    });
  });

  it("finds a body that is sent byte by byte after its whole time", () => {
    // Guards against a limit on silence alone, which one byte a second evades.
    const slow = addConnection("slow", "body");
    expect(findOverdueChecks(20, () => slow.progress++)).to.deep.equal({
      slow: 11,
    });
  });

  it("never finds a connection that waits for its answer, is idle, or goes on", () => {
    // Guards against closing a connection on which an answer is still due.
    addConnection("handling", "handling");
    addConnection("idle", "idle");
    const busy = addConnection("busy", "body");
    const reading = addConnection("reading", "unread");
    const found = findOverdueChecks(1_000, () => {
      busy.requestCount++;
      reading.progress++;
    });
    expect(found).to.deep.equal({});
  });

  it("selects connections without a complete request first, the oldest before", () => {
    // Guards against a crowd that has the idle connections of ordinary clients closed.
    addConnection("handling", "handling");
    addConnection("unread", "unread");
    addConnection("ordinary idle", "idle", 1);
    addConnection("ordinary body", "body", 1);
    addConnection("silent 1", "idle");
    addConnection("silent 2", "header");
    const order: string[] = [];
    for (;;) {
      const selected = table.selectClosable();
      if (selected === undefined) {
        break;
      }
      order.push(selected.name);
      table.remove(selected);
    }
    expect(order).to.deep.equal([
      ...["silent 1", "silent 2", "ordinary idle", "ordinary body"],
    ]);
  });

  it("selects a client that has stopped reading when no other can be closed", () => {
    // Guards against unread responses that hold all connections.
    addConnection("unread", "unread");
    findOverdueChecks(7);
    expect(table.selectClosable()?.name).to.equal("unread");
  });
});
