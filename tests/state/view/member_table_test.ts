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
      // Guards against a restarted process whose predecessor keeps its claims
      // and its share of the keys.
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
      // Guards against a retried append, after a lost reply, that takes a
      // planned stop back.
      const table = createTable(1, 1);
      table.leave("agent-1#1", "leaving", { offset: 5 });
      table.announce(createMember("agent-1", "agent"), 6);
      expect(table.get("agent-1#1")?.phase).to.equal("leaving");
    });
  });

  describe("suspect", () => {
    it("removes a member only when a majority of its observers suspects it", () => {
      // Guards against one broken link, or the smaller side of a partition,
      // that removes live members.
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

    it("doesn't add up suspicions that are far apart in time", () => {
      // Guards against two short breaks at different times that together remove
      // a live member.
      const table = createTable(2, 1);
      table.suspect("entry-1#1", ["agent-1#1"], { offset: 10, timeMs: 0 });
      table.suspect("entry-2#1", ["agent-1#1"], { offset: 11, timeMs: 60_000 });
      expect(table.get("agent-1#1")).to.not.equal(undefined);
    });

    it("counts again when an observer is gone", () => {
      // Guards against a dead agent that stays a member because one of its two
      // observers died with it.
      const table = createTable(2, 3);
      table.suspect("entry-1#1", ["agent-1#1"], { offset: 10, timeMs: 0 });
      const events = table.leave("entry-2#1", "left", { offset: 11 });
      const removed = events.map((event) =>
        event.type === "change" ? "" : event.member.id
      );
      expect(removed).to.deep.equal([
        "entry-2#1",
        "agent-1#1",
      ]);
    });

    it("ignores an observer that isn't a member", () => {
      // Guards against a removed process that resumes and removes the others.
      const table = createTable(1, 1);
      table.leave("entry-1#1", "left", { offset: 5 });
      table.suspect("entry-1#1", ["agent-1#1"], { offset: 6, timeMs: 0 });
      expect(table.get("agent-1#1")).to.not.equal(undefined);
    });
  });
});
