import { expect } from "chai";
import { DetourForecast } from "../../../src/state/batch/mod.ts";

describe("DetourForecast", () => {
  it("learns the time beyond the run time, for each priority", () => {
    const forecast = new DetourForecast();
    for (let n = 0; n < 200; n++) {
      forecast.record(0, 180, 70);
      forecast.record(1, 300, 280);
    }
    expect(forecast.estimateMs(0)).to.be.closeTo(110, 1);
    expect(forecast.estimateMs(1)).to.be.closeTo(20, 1);
    expect(forecast.estimateMs(2)).to.equal(0);
  });

  it("is not misled by one run that came back very late", () => {
    const forecast = new DetourForecast();
    forecast.record(0, 30_000, 70);
    expect(forecast.estimateMs(0)).to.be.at.most(20);
  });
});
