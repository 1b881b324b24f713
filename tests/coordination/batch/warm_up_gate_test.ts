import { expect } from "chai";
import { WarmUpGate } from "../../../src/coordination/batch/entry/mod.ts";

describe("WarmUpGate", () => {
  function createGate() {
    const state = { time: 0, known: 0, usable: 0 };
    const gate = new WarmUpGate({
      getKnownAgentCount: () => state.known,
      getUsableAgentCount: () => state.usable,
      getTime: () => state.time,
    });
    return { state, gate };
  }

  async function isOpen(gate: WarmUpGate): Promise<boolean> {
    const signal = AbortSignal.abort();
    let hasPassed = false;
    // With an aborted signal, `wait` returns at once, whether open or not.
    await gate.wait(signal).then(() => hasPassed = true);
    return hasPassed && gate.isOpen;
  }

  it("opens once enough known agents accept work, and stays open", async () => {
    const { state, gate } = createGate();
    expect(await isOpen(gate)).to.equal(false);
    state.known = 10;
    state.usable = 6;
    expect(await isOpen(gate)).to.equal(false);
    state.usable = 7;
    expect(await isOpen(gate)).to.equal(true);
    state.usable = 0;
    expect(await isOpen(gate)).to.equal(true);
  });

  it("opens after the maximum wait in any case", async () => {
    const { state, gate } = createGate();
    state.time = 800;
    expect(await isOpen(gate)).to.equal(true);
  });
});
