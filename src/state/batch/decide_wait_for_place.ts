/**
 * Decides whether a task waits for a place near its data. The load it answers: the
 * rack with the data is wanted by more tasks than it has room for. Away from it a task
 * takes some times as long, which costs its job time, and other jobs the room that it
 * occupies meanwhile; waiting costs its job alone. So a task waits for as long as its
 * job meets its latency target by it, or gets its answer sooner than from elsewhere.
 */
import type { PlaceDecision } from "./place_decision.ts";

/** Time in which a task that is handed back reaches another agent, in milliseconds. */
const HAND_BACK_MS = 10;

/** Factor by which a wait may exceed the expected one before it is checked. */
const WAIT_MARGIN = 2;

/**
 * Factor by which a run may exceed its expected run time: they differ by up to about
 * 1.5 in either direction. Where a task can be in time at both
 * places, it has to be with this margin.
 */
const RUN_TIME_MARGIN = 1.4;

/**
 * Weight of the time by which a far run is longer, while there is no room elsewhere
 * either: every other task waits that much longer for the room.
 */
const OTHERS_WEIGHT = 2;

interface Place {
  /** Expected wait for room, in milliseconds. */
  readonly waitMs: number;
  /** Expected run time there, in milliseconds. */
  readonly runMs: number;
}

export interface DecideWaitForPlaceOptions {
  /** Best place near the data; `longWaitMs` is a wait that few tasks exceed. */
  near: Place & { readonly longWaitMs: number };
  /** Best place elsewhere. */
  far: Place;
  /** Time left until the latency target of the job, in milliseconds. */
  targetLeftMs: number;
  /**
   * Whether a task that waits can go elsewhere if the wait gets too long. True by
   * default.
   */
  canBeChecked?: boolean;
  /**
   * Time for which other tasks of the job occupy their room longer if this one goes
   * elsewhere, in total, in milliseconds. 0 by default.
   */
  othersExtraMs?: number;
}

/** Decides between the best places near the data and away from it. */
export function decideWaitForPlace(
  options: DecideWaitForPlaceOptions,
): PlaceDecision {
  const { near, far, targetLeftMs } = options;
  const { canBeChecked = true, othersExtraMs = 0 } = options;
  if (near.waitMs <= 0 && near.runMs <= far.runMs) {
    return { kind: "near" };
  }
  const extraMs = far.waitMs > 0 ? far.runMs - near.runMs : 0;
  const farEndMs = far.waitMs + far.runMs;
  const surelyFarEndMs = far.waitMs + RUN_TIME_MARGIN * far.runMs;
  if (surelyFarEndMs <= targetLeftMs) {
    const isInTime =
      near.longWaitMs + RUN_TIME_MARGIN * near.runMs <= targetLeftMs;
    const recheckAfterMs = targetLeftMs - surelyFarEndMs - HAND_BACK_MS;
    return isInTime ||
        (canBeChecked && WAIT_MARGIN * near.waitMs <= recheckAfterMs)
      ? { kind: "wait", recheckAfterMs: Math.max(0, recheckAfterMs) }
      : { kind: "far" };
  }
  const nearEndMs = near.waitMs + near.runMs;
  const latestEndMs = farEndMs + OTHERS_WEIGHT * (extraMs + othersExtraMs);
  return nearEndMs <= Math.max(latestEndMs, targetLeftMs)
    ? { kind: "wait", recheckAfterMs: Infinity }
    : { kind: "far" };
}
