import { expect } from "chai";
import { BATCH_LIMITS } from "../../../src/coordination/batch/batch_limits.ts";
import { getRunExpiryMs } from "../../../src/coordination/batch/get_run_expiry_ms.ts";

/** Time after which a client whose connection broke sends its job again. */
const RESEND_MS = 1_300;

/** Interval of the agent's check for silent entries. */
const TICK_MS = 50;

describe("the time limits that keep two runs of a task apart", () => {
  const {
    leaseMs,
    pingIntervalMs: pingMs,
    agentTimeoutMs: silentAgentMs,
    entryTimeoutMs: silentEntryMs,
    maxClockDriftFactor: slowClockFactor,
  } = BATCH_LIMITS;
  const expiryMs = leaseMs * slowClockFactor + BATCH_LIMITS.maxStopDelayMs;

  it("ends the runs of a killed entry before its clients send again", () => {
    expect(silentEntryMs + TICK_MS + BATCH_LIMITS.maxStopDelayMs)
      .to.be.lessThan(RESEND_MS);
  });

  it("ends the runs of a killed agent before clients send again", () => {
    expect(expiryMs).to.be.lessThan(RESEND_MS);
  });

  it("ends the runs of an agent that is cut off before clients send again", () => {
    expect(silentEntryMs + TICK_MS + BATCH_LIMITS.maxStopDelayMs)
      .to.be.lessThan(silentAgentMs + RESEND_MS);
  });

  it("places a lost run again only when an agent that failed last has expired", () => {
    expect(getRunExpiryMs()).to.be.at.least(silentEntryMs + expiryMs);
  });

  it("bears the loss of two pings in a row", () => {
    expect(silentAgentMs).to.be.greaterThan(3 * pingMs);
    expect(silentEntryMs).to.be.greaterThan(3 * pingMs + TICK_MS);
  });
});
