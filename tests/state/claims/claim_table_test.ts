import { expect } from "chai";
import { ClaimTable } from "../../../src/state/claims/mod.ts";

describe("ClaimTable", () => {
  let now = 0;
  let table: ClaimTable<string>;
  beforeEach(() => {
    now = 0;
    table = new ClaimTable({
      windowMs: 100,
      maxClaims: 3,
      maxAnswerBytes: 10,
      getAnswerSizeBytes: (answer) => answer.length,
      getTime: () => now,
    });
  });

  function complete(key: string, answer: string): void {
    table.complete(key, "f", { coordinator: "e1", answer });
  }

  describe("complete", () => {
    it("drops the oldest answers beyond the limit, and keeps their claims", () => {
      // Guards against unbounded memory use, and against a second run of a key
      // whose answer was dropped.
      complete("a", "123456");
      complete("b", "1234");
      complete("c", "12");
      expect(table.get("a")?.answer).to.equal(undefined);
      expect(table.get("b")?.answer).to.equal("1234");
      expect(table.claim("a", "f", { coordinator: "e2" }).type).to.equal(
        "done",
      );
      expect(table.isFull).to.equal(true);
    });

    it("doesn't change the claim of another coordinator", () => {
      table.claim("a", "f", { coordinator: "e2" });
      complete("a", "1");
      expect(table.get("a")?.state).to.equal("running");
    });
  });

  describe("markCoordinatorLost", () => {
    it("marks only the running claims of the coordinator as lost", () => {
      table.claim("a", "f", { coordinator: "e1" });
      table.claim("b", "f", { coordinator: "e2" });
      table.claim("c", "f", { coordinator: "e1" });
      complete("c", "1");
      expect(table.markCoordinatorLost("e1")).to.deep.equal(["a"]);
      expect(table.markCoordinatorLost("e1")).to.deep.equal([]);
      expect(table.get("c")?.state).to.equal("done");
    });
  });

  describe("removeExpired", () => {
    it("counts the window from the last change, and frees the memory", () => {
      // Guards against a completed claim that is removed at the end of the first
      // window.
      table.claim("a", "f", { coordinator: "e1" });
      table.claim("b", "f", { coordinator: "e1" });
      now = 50;
      complete("a", "1234567890");
      now = 100;
      expect(table.removeExpired()).to.deep.equal(["b"]);
      now = 150;
      expect(table.removeExpired()).to.deep.equal(["a"]);
      complete("c", "1234567890");
      expect(table.get("c")?.answer).to.equal("1234567890");
      expect(table.size).to.equal(1);
    });
  });
});
