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

describe("StreamSubset", () => {
  describe("get", () => {
    it("chooses all entries while they are few, and else 8 over the zones", () => {
      // Guards against an agent whose entries all sit in one zone.
      expect(createTable(3, 1).getEntriesOf("a0#1").size).to.equal(3);
      const chosen = createTable(40, 1).getEntriesOf("a0#1");
      expect(chosen.size).to.equal(8);
      const zones = new Set(
        [...chosen].map((id) => Number(id.slice(1, -2)) % 5),
      );
      expect(zones.size).to.equal(5);
    });

    it("gives each entry its part of the agents", () => {
      // Guards against entries without agents, and against one that gets far
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
    it("counts the entries that watch the agent and no others", () => {
      // Guards against dead agents that stay members because most entries don't
      // watch them.
      const table = createTable(40, 1);
      const watching = table.getEntriesOf("a0#1");
      const others = Array.from({ length: 40 }, (_, n) => `e${n}#1`)
        .filter((id) => !watching.has(id));
      const options = { offset: 100, timeMs: 0 };
      for (const id of [...others, ...[...watching].slice(0, 4)]) {
        expect(table.suspect(id, ["a0#1"], options)).to.deep.equal([]);
      }
      const [event] = table.suspect(
        [...watching][4] as string,
        ["a0#1"],
        options,
      );
      expect(event?.type).to.equal("removed");
    });

    it("counts the agents that watch the entry and no others", () => {
      const table = createTable(2, 10, 1);
      const agents = Array.from({ length: 10 }, (_, n) => `a${n}#1`);
      const watching = agents.filter((id) =>
        table.getEntriesOf(id).has("e0#1")
      );
      const removed = watching.flatMap((id) =>
        table.suspect(id, ["e0#1"], { offset: 100, timeMs: 0 })
      );
      expect(removed).to.have.length(1);
      expect(watching.length).to.be.within(1, 9);
    });
  });
});
