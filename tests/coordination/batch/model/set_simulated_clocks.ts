/**
 * Replaces the clocks, the timers and the random numbers of this process by those
 * of a model, also in modules that have imported them already.
 */
import { createRequire, syncBuiltinESMExports } from "node:module";
import type { TestRandom } from "../../../lib/test_random.ts";
import type { SimulatedEvent } from "./simulated_event.ts";
import type { SimulatedTime } from "./simulated_time.ts";

/** Time since 1970 at the start of a model, in milliseconds. */
const WALL_CLOCK_START_MS = 1_700_000_000_000;

const RANDOM_STEPS = 2 ** 30;

const timersPromises: {
  setTimeout: unknown;
} = createRequire(import.meta.url)("node:timers/promises");

/** A timer of the model, with the methods of those of Node.js. */
interface SimulatedTimer {
  event: SimulatedEvent;
  unref: () => SimulatedTimer;
}

/** @returns A function that restores the real ones. */
export function setSimulatedClocks(
  time: SimulatedTime,
  random: TestRandom,
): () => void {
  const real = {
    setTimeout: globalThis.setTimeout,
    setInterval: globalThis.setInterval,
    setImmediate: globalThis.setImmediate,
    clearTimeout: globalThis.clearTimeout,
    clearInterval: globalThis.clearInterval,
  };
  const realDateNow = Date.now;
  const realRandom = Math.random;
  const realWait = timersPromises.setTimeout;

  function startTimeout(handle: () => void, delayMs = 1): SimulatedTimer {
    const event = time.schedule(Math.max(1, delayMs), handle, {
      kind: "timer",
    });
    return createTimer(event);
  }

  function startInterval(handle: () => void, delayMs: number): SimulatedTimer {
    const timer = startTimeout(handleTick, delayMs);
    function handleTick(): void {
      timer.event = time.schedule(delayMs, handleTick, { kind: "timer" });
      handle();
    }
    return timer;
  }

  function clearTimer(timer: SimulatedTimer | undefined): void {
    if (timer !== undefined) {
      timer.event.isCancelled = true;
    }
  }

  Object.assign(globalThis, {
    setTimeout: startTimeout,
    setInterval: startInterval,
    setImmediate: (handle: () => void) => startTimeout(handle),
    clearTimeout: clearTimer,
    clearInterval: clearTimer,
  });
  performance.now = () => time.clockMs;
  Date.now = () => WALL_CLOCK_START_MS + Math.floor(time.nowMs - time.startMs);
  Math.random = () => random.getInt(0, RANDOM_STEPS - 1) / RANDOM_STEPS;
  timersPromises.setTimeout = (delayMs: number, value?: unknown) =>
    new Promise((resolve) => startTimeout(() => resolve(value), delayMs));
  syncBuiltinESMExports();

  return () => {
    Object.assign(globalThis, real);
    Reflect.deleteProperty(performance, "now");
    Date.now = realDateNow;
    Math.random = realRandom;
    timersPromises.setTimeout = realWait;
    syncBuiltinESMExports();
  };
}

function createTimer(event: SimulatedEvent): SimulatedTimer {
  const timer: SimulatedTimer = { event, unref: () => timer };
  return timer;
}
