import { expect } from "chai";
import fc from "fast-check";
import type { Member } from "../../../src/state/view/mod.ts";
import { MemberTable } from "../../../src/state/view/member_table.ts";
import { StreamAssignment } from "../../../src/state/view/stream_assignment.ts";

const actions = fc.array(
  fc.record({
    type: fc.constantFrom("announce", "left", "suspect", "limit"),
    role: fc.constantFrom("entry" as const, "agent" as const),
    number: fc.integer({ min: 0, max: 9 }),
  }),
  { maxLength: 60 },
);

function createMember(role: "entry" | "agent", number: number): Member {
  return {
    ...{ id: `${role}-${number}#1`, name: `${role}-${number}`, role },
    ...{ zone: `zone-${number % 3}`, services: [], slots: 0 },
    ...{ peerAddress: "127.0.0.1:1", httpAddress: "127.0.0.1:1" },
  };
}

describe("StreamAssignment", () => {
  describe("getAgentsOf", () => {
    it("gets exactly the agents that an entry uses, whatever joins and leaves", () => {
      // Guards against an index that doesn't match the assignment: suspicions
      // would be counted among the wrong observers, so that an entry is removed
      // wrongly or never.
      fc.assert(
        fc.property(actions, (list) => {
          const members = new Map<string, Member>();
          let limit = 2;
          const get = (role: string) =>
            [...members.values()].filter((member) => member.role === role)
              .map((member) => ({
                ...member,
                phase: "live" as const,
                announcedAt: 1,
              }));
          const assignment = new StreamAssignment({
            getEntries: () => get("entry"),
            getAgents: () => get("agent"),
            getEntriesPerAgent: () => limit,
          });
          for (const { type, role, number } of list) {
            const member = createMember(role, number);
            if (type === "limit") {
              limit = 1 + number % 3;
            } else if (type === "announce") {
              members.set(member.id, member);
              role === "entry"
                ? assignment.invalidate()
                : assignment.addAgent(member.id);
            } else if (members.delete(member.id)) {
              role === "entry"
                ? assignment.invalidate()
                : assignment.removeAgent(member.id);
            }
            for (const entry of get("entry")) {
              const expected = get("agent").filter(({ id }) =>
                assignment.getEntriesOf(id).has(entry.id)
              ).map(({ id }) => id).sort();
              expect([...assignment.getAgentsOf(entry.id)].sort()).to.deep
                .equal(
                  expected,
                );
            }
          }
        }),
        { seed: 20261204, numRuns: 200 },
      );
    });
  });
});

describe("MemberTable", () => {
  describe("suspect", () => {
    it("removes a member that a majority suspects once an observer is removed", () => {
      // Guards against a check of only the members that a record names. Here
      // entry 1 is suspected by two of four agents, and the removal of a third
      // agent makes the two a majority.
      const table = new MemberTable();
      let offset = 0;
      for (let n = 0; n < 2; n++) {
        table.announce(createMember("entry", n), ++offset);
      }
      for (let n = 0; n < 4; n++) {
        table.announce(createMember("agent", n), ++offset);
      }
      const suspect = (observer: string, id: string) =>
        table.suspect(observer, [id], { offset: ++offset, timeMs: 0 })
          .map((event) => "member" in event ? event.member.id : event.type);
      expect(suspect("agent-0#1", "entry-1#1")).to.deep.equal([]);
      expect(suspect("agent-1#1", "entry-1#1")).to.deep.equal([]);
      expect(suspect("entry-0#1", "agent-3#1")).to.deep.equal([]);
      expect(suspect("entry-1#1", "agent-3#1")).to.deep.equal(
        ["agent-3#1", "entry-1#1"],
      );
    });
  });
});
