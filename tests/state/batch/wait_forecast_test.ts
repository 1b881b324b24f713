import { expect } from "chai";
import { WaitForecast } from "../../../src/state/batch/mod.ts";

describe("WaitForecast", () => {
  it("learns that waits for a rack are longer than computed", () => {
    const forecast = new WaitForecast();
    for (let n = 0; n < 100; n++) {
      forecast.record("hot", 20, 60);
    }
    const { meanMs, longMs } = forecast.estimate("hot", 20);
    expect(meanMs).to.be.closeTo(60, 3);
    expect(longMs).to.be.at.least(meanMs);
    expect(forecast.estimate("other", 20).meanMs).to.equal(20);
  });

  it("counts no wait that tasks have on free room too", () => {
    const forecast = new WaitForecast();
    for (let n = 0; n < 200; n++) {
      forecast.record("r", 0, 50);
      forecast.record("r", 20, 70);
    }
    expect(forecast.estimate("r", 20).meanMs).to.be.closeTo(20, 3);
    expect(forecast.estimate("r", 0).meanMs).to.equal(0);
  });

  it("keeps few racks, whatever names clients state", () => {
    const forecast = new WaitForecast();
    forecast.record("first", 20, 100);
    for (let n = 0; n < 300; n++) {
      forecast.record(`r-${n}`, 20, 20);
    }
    expect(forecast.estimate("first", 20).meanMs).to.equal(20);
  });
});
