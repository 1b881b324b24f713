import { expect } from "chai";
import { OrderTimeout } from "../../../src/state/batch/mod.ts";

function createTimeout(responsesMs: readonly number[]): OrderTimeout {
  const timeout = new OrderTimeout();
  responsesMs.forEach((responseMs) => timeout.recordAnswer(responseMs));
  return timeout;
}

describe("OrderTimeout", () => {
  it("waits long for a worker that is not known", () => {
    expect(new OrderTimeout().valueMs).to.equal(100);
  });

  it("waits a short time for a worker that answers fast", () => {
    expect(createTimeout(new Array(40).fill(3)).valueMs).to.equal(40);
  });

  it("follows a worker whose answers come later than before", () => {
    // Guards against a timeout that no answer meets, from which nothing is learned.
    const timeout = createTimeout(new Array(40).fill(3));
    timeout.recordTimeout();
    expect(timeout.valueMs).to.equal(80);
    for (let n = 0; n < 20; n++) {
      timeout.recordAnswer(60);
    }
    expect(timeout.valueMs).to.be.above(60);
  });
});
