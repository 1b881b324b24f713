import { expect } from "chai";
import { SettingsStore } from "../../../src/state/view/settings_store.ts";
import type { ChangeRecord } from "../../../src/state/view/mod.ts";

function createChange(
  id: string,
  baseRevision: number,
  path: string,
  value: unknown,
): ChangeRecord {
  const edits = [{
    path,
    value: value as ChangeRecord["edits"][number]["value"],
  }];
  return { type: "change", id, baseRevision, operator: "test", edits };
}

describe("SettingsStore", () => {
  describe("apply", () => {
    it("accepts a change and rejects a concurrent one of the same node", () => {
      // Guards against two operators both being told that their change is in
      // force.
      const store = new SettingsStore();
      expect(
        store.apply(createChange("a", 0, "zones.a", { state: "out" }), 1).type,
      ).to.equal("accepted");
      const second = store.apply(
        createChange("b", 0, "zones.a.state", "in"),
        2,
      );
      expect(second).to.include({ type: "rejected", winner: 1 });
      expect(store.tree.zones?.["a"]?.state).to.equal("out");
    });

    it("accepts a concurrent change of other nodes", () => {
      const store = new SettingsStore();
      store.apply(createChange("a", 0, "zones.a", { state: "out" }), 1);
      expect(
        store.apply(createChange("b", 0, "zones.b", { state: "out" }), 2).type,
      ).to.equal("accepted");
    });

    it("gives a repeated record the outcome of the first", () => {
      // Guards against a change that is appended twice, since the first reply
      // was lost, and undoes a later change.
      const store = new SettingsStore();
      const first = createChange("a", 0, "zones.a", { state: "out" });
      store.apply(first, 1);
      store.apply(createChange("b", 1, "zones.a", { state: "in" }), 2);
      expect(store.apply(first, 3)).to.deep.equal({
        type: "accepted",
        revision: 1,
      });
      expect(store.tree.zones?.["a"]?.state).to.equal("in");
    });

    it("rejects an unknown setting and names its path", () => {
      const store = new SettingsStore();
      const outcome = store.apply(createChange("a", 0, "rules.timeout", 5), 1);
      expect(outcome.type === "rejected" && outcome.error.kind).to.equal(
        "invalid_settings",
      );
      expect(store.revision).to.equal(0);
    });

    it("removes nothing, and adds nothing, for a path that doesn't exist", () => {
      // Guards against a removal that creates an empty service as a parent of
      // its path.
      const store = new SettingsStore();
      store.apply(createChange("a", 0, "services.x.rules", null), 1);
      expect(store.tree).to.deep.equal({});
    });

    it("rejects a concurrent edit below a node that was replaced", () => {
      // Guards against a missed conflict. The child's own revision is dropped
      // when its parent is replaced, so the parent's revision must count for
      // the child.
      const store = new SettingsStore();
      store.apply(createChange("a", 0, "services.x.rules.priority", 1), 1);
      store.apply(createChange("b", 1, "services.x", {}), 2);
      expect(
        store.apply(createChange("c", 1, "services.x.rules.priority", 2), 3),
      ).to.include({ type: "rejected", winner: 2 });
    });
  });
});
