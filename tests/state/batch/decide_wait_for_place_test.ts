import { expect } from "chai";
import { decideWaitForPlace } from "../../../src/state/batch/mod.ts";

const FAR = { waitMs: 0, runMs: 60 };

function decide(
  nearWaitMs: number,
  options: { longWaitMs?: number; far?: typeof FAR; targetLeftMs?: number },
) {
  const longWaitMs = options.longWaitMs ?? nearWaitMs;
  return decideWaitForPlace({
    near: { waitMs: nearWaitMs, longWaitMs, runMs: 40 },
    far: options.far ?? FAR,
    targetLeftMs: options.targetLeftMs ?? 200,
  });
}

describe("decideWaitForPlace", () => {
  it("goes near at once while there is room", () => {
    expect(decide(0, {})).to.deep.equal({ kind: "near" });
  });

  it("waits for as long as the job is in time, and checks while it can go far", () => {
    // A far run that takes 1.4 times as long as expected needs 84 ms.
    expect(decide(140, {}))
      .to.deep.equal({ kind: "wait", recheckAfterMs: 200 - 84 - 10 });
  });

  it("goes far when only that is in time", () => {
    expect(decide(150, {})).to.deep.equal({ kind: "far" });
    expect(decide(140, { longWaitMs: 150 })).to.deep.equal({ kind: "far" });
    expect(decide(40, { longWaitMs: 150 }).kind).to.equal("wait");
  });

  it("waits unless its job is answered sooner from elsewhere, when it is late", () => {
    const options = { far: { waitMs: 0, runMs: 120 }, targetLeftMs: 50 };
    expect(decide(70, options))
      .to.deep.equal({ kind: "wait", recheckAfterMs: Infinity });
    expect(decide(90, options)).to.deep.equal({ kind: "far" });
  });

  it("waits longer when a far run takes room that other jobs wait for", () => {
    const options = { far: { waitMs: 1, runMs: 120 }, targetLeftMs: 50 };
    expect(decide(90, options).kind).to.equal("wait");
    expect(decide(300, options).kind).to.equal("far");
  });
});
