import { setImmediate as waitForTurn } from "node:timers/promises";
import { TestRandom } from "../../../lib/test_random.ts";
import type { ModelScenario } from "./model_scenario.ts";
import { setSimulatedClocks } from "./set_simulated_clocks.ts";
import { SimulatedCluster } from "./simulated_cluster.ts";
import { SimulatedTime } from "./simulated_time.ts";

/** Time in which all processes connect at the start, in milliseconds. */
const CONNECT_MS = 1_500;

/** Time for the last disruptions and their effects, in milliseconds. */
const SETTLE_MS = 3_000;

/** Longest wait for answers after that, in milliseconds. */
const ANSWER_MS = 20_000;

/** Number of events that are printed for a failure. */
const TRACE_LINES = 80;

/**
 * Runs a scenario. Throws an error if two runs of a task are executing at once,
 * if a client gets no answer, or if a job that is sent again is not completed when
 * no disruption is left.
 * @returns The number of events that have run.
 */
export async function runScenario(scenario: ModelScenario): Promise<number> {
  const time = new SimulatedTime();
  const random = new TestRandom(scenario.seed);
  const restoreClocks = setSimulatedClocks(time, random);
  try {
    const cluster = new SimulatedCluster({ scenario, time, random });
    const hasOverlap = () => cluster.overlaps.length > 0;
    const isIdle = () => !cluster.hasWaitingClients && !cluster.hasRuns;
    const wait = (delayMs: number, isFinished = hasOverlap) =>
      time.advance(time.nowMs + delayMs, isFinished);
    cluster.start();
    await wait(CONNECT_MS);
    for (const { afterMs, order } of scenario.orders) {
      await wait(afterMs);
      if (hasOverlap()) {
        break;
      }
      cluster.applyOrder(order);
    }
    await wait(SETTLE_MS);
    cluster.endDisruptions();
    await wait(SETTLE_MS);
    await wait(ANSWER_MS, () => hasOverlap() || isIdle());
    const missingAnswers = [...cluster.missingAnswers];
    cluster.submitJobsAgain();
    await wait(ANSWER_MS, () => hasOverlap() || isIdle());
    const problems = hasOverlap()
      ? cluster.overlaps
      : [...missingAnswers, ...cluster.unfinishedJobs];
    if (problems.length > 0) {
      throw new Error(
        [...problems, cluster.formatTrace(TRACE_LINES)].join("\n"),
      );
    }
    return time.eventCount;
  } finally {
    restoreClocks();
    await waitForTurn();
  }
}
