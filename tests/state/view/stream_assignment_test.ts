import { expect } from "chai";
import type { Member } from "../../../src/state/view/mod.ts";
import { MemberTable } from "../../../src/state/view/member_table.ts";

function createMember(
  name: string,
  role: Member["role"],
  zone: string,
): Member {
  return {
    ...{ id: `${name}#1`, name, role, zone, services: [], slots: 0 },
    ...{ peerAddress: "127.0.0.1:1", httpAddress: "127.0.0.1:1" },
  };
}

function createTable(entries: number, agents: number, limit?: number) {
  const table = new MemberTable({ getEntriesPerAgent: () => limit });
  for (let n = 0; n < entries; n++) {
    table.announce(createMember(`e${n}`, "entry", `z${n % 5}`), n + 1);
  }
  for (let n = 0; n < agents; n++) {
    table.announce(createMember(`a${n}`, "agent", "z0"), entries + n + 1);
  }
  return table;
}

describe("StreamAssignment", () => {
  describe("getEntriesOf", () => {
    it("chooses all of a few entries, and otherwise 8 spread over the zones", () => {
      // Guards against an agent whose entries are all in one zone.
      expect(createTable(3, 1).getEntriesOf("a0#1").size).to.equal(3);
      const chosen = createTable(40, 1).getEntriesOf("a0#1");
      expect(chosen.size).to.equal(8);
      const zones = new Set(
        [...chosen].map((id) => Number(id.slice(1, -2)) % 5),
      );
      expect(zones.size).to.equal(5);
    });

    it("distributes the agents over all entries", () => {
      // Guards against entries without agents, and against one entry with far
      // too many streams.
      const table = createTable(40, 500);
      const counts = new Map<string, number>();
      for (let n = 0; n < 500; n++) {
        for (const id of table.getEntriesOf(`a${n}#1`)) {
          counts.set(id, (counts.get(id) ?? 0) + 1);
        }
      }
      expect(counts.size).to.equal(40);
      expect(Math.min(...counts.values())).to.be.above(60);
      expect(Math.max(...counts.values())).to.be.below(150);
    });

    it("moves only the streams of an entry that has left", () => {
      const table = createTable(40, 100);
      const before = new Map(
        Array.from(
          { length: 100 },
          (_, n) => [n, table.getEntriesOf(`a${n}#1`)],
        ),
      );
      table.leave("e7#1", "left", { offset: 999 });
      for (const [n, entries] of before) {
        const after = table.getEntriesOf(`a${n}#1`);
        const lost = [...entries].filter((id) => !after.has(id));
        expect(lost).to.deep.equal(entries.has("e7#1") ? ["e7#1"] : []);
      }
    });
  });
});

describe("MemberTable", () => {
  describe("suspect", () => {
    it("counts only the entries that observe the agent", () => {
      // Guards against dead agents that stay members because most entries don't
      // observe them.
      const table = createTable(40, 1);
      const observers = table.getEntriesOf("a0#1");
      const others = Array.from({ length: 40 }, (_, n) => `e${n}#1`)
        .filter((id) => !observers.has(id));
      const options = { offset: 100, timeMs: 0 };
      for (const id of [...others, ...[...observers].slice(0, 4)]) {
        expect(table.suspect(id, ["a0#1"], options)).to.deep.equal([]);
      }
      const [event] = table.suspect(
        [...observers][4] as string,
        ["a0#1"],
        options,
      );
      expect(event?.type).to.equal("removed");
    });

    it("counts only the agents that observe the entry", () => {
      const table = createTable(2, 10, 1);
      const agents = Array.from({ length: 10 }, (_, n) => `a${n}#1`);
      const observers = agents.filter((id) =>
        table.getEntriesOf(id).has("e0#1")
      );
      const removed = observers.flatMap((id) =>
        table.suspect(id, ["e0#1"], { offset: 100, timeMs: 0 })
      );
      expect(removed).to.have.length(1);
      expect(observers.length).to.be.within(1, 9);
    });
  });
});
