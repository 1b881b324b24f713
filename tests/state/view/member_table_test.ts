import { expect } from "chai";
import type { Member } from "../../../src/state/view/mod.ts";
import { MemberTable } from "../../../src/state/view/member_table.ts";

function createMember(
  name: string,
  role: "entry" | "agent",
  suffix = "1",
): Member {
  const address = "127.0.0.1:1";
  return {
    id: `${name}#${suffix}`,
    name,
    role,
    zone: "a",
    peerAddress: address,
    httpAddress: address,
    services: [],
    slots: 0,
  };
}

function createTable(entries: number, agents: number): MemberTable {
  const table = new MemberTable();
  for (let n = 1; n <= entries; n++) {
    table.announce(createMember(`entry-${n}`, "entry"), n);
  }
  for (let n = 1; n <= agents; n++) {
    table.announce(createMember(`agent-${n}`, "agent"), entries + n);
  }
  return table;
}

describe("MemberTable", () => {
  describe("announce", () => {
    it("removes the older incarnation of the same name", () => {
      // Guards against an ended predecessor of a restarted process that stays a
      // member, and so keeps its claims and its share of the keys.
      const table = createTable(1, 1);
      const events = table.announce(createMember("agent-1", "agent", "2"), 9);
      expect(events.map(({ type }) => type)).to.deep.equal([
        "removed",
        "joined",
      ]);
      expect(table.getAll().map(({ id }) => id)).to.deep.equal([
        "entry-1#1",
        "agent-1#2",
      ]);
      expect(table.epoch).to.equal(9);
    });

    it("keeps a leaving member leaving when its announcement is repeated", () => {
      // Guards against an announcement that is appended twice, since the first
      // reply was lost, and cancels a planned stop.
      const table = createTable(1, 1);
      table.leave("agent-1#1", "leaving", { offset: 5 });
      table.announce(createMember("agent-1", "agent"), 6);
      expect(table.get("agent-1#1")?.phase).to.equal("leaving");
    });
  });

  describe("suspect", () => {
    it("removes a member only when a majority of its observers suspects it", () => {
      // Guards against live members that are removed because of one broken
      // connection, or by the smaller side of a partition.
      const table = createTable(4, 2);
      const suspect = (entry: number) =>
        table.suspect(`entry-${entry}#1`, ["agent-1#1"], {
          offset: 10 + entry,
          timeMs: 1_000,
        });
      expect(suspect(1)).to.deep.equal([]);
      expect(suspect(2)).to.deep.equal([]);
      expect(suspect(3).map(({ type }) => type)).to.deep.equal(["removed"]);
      expect(table.epoch).to.equal(13);
    });

    it("doesn't count suspicions together that are far apart in time", () => {
      // Guards against a live member that is removed after two brief connection
      // losses at different times.
      const table = createTable(2, 1);
      table.suspect("entry-1#1", ["agent-1#1"], { offset: 10, timeMs: 0 });
      table.suspect("entry-2#1", ["agent-1#1"], { offset: 11, timeMs: 60_000 });
      expect(table.get("agent-1#1")).to.not.equal(undefined);
    });

    it("counts the suspicions again when an observer has left", () => {
      // Guards against a failed agent that stays a member because one of its two
      // observers was lost at the same time.
      const table = createTable(2, 3);
      table.suspect("entry-1#1", ["agent-1#1"], { offset: 10, timeMs: 0 });
      const events = table.leave("entry-2#1", "left", { offset: 11 });
      const removed = events.map((event) =>
        "member" in event ? event.member.id : ""
      );
      expect(removed).to.deep.equal([
        "entry-2#1",
        "agent-1#1",
      ]);
    });

    it("ignores an observer that isn't a member", () => {
      // Guards against a removed process that resumes and removes live members.
      const table = createTable(1, 1);
      table.leave("entry-1#1", "left", { offset: 5 });
      table.suspect("entry-1#1", ["agent-1#1"], { offset: 6, timeMs: 0 });
      expect(table.get("agent-1#1")).to.not.equal(undefined);
    });
  });
});
