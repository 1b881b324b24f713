import type { LoadScenario } from "./load_scenario.ts";

const DURATION_MS = 20_000;

/** The load scenarios, by name. */
export const LOAD_SCENARIOS: { readonly [name: string]: LoadScenario } = {
  "steady-70": createSteadyScenario("steady-70", 0.7),
  "steady-100": createSteadyScenario("steady-100", 1),
  "overload-150": createSteadyScenario("overload-150", 1.5),
  // At a load of 90%, the remaining workers are overloaded while the zone is
  // out of service.
  "zone-change": {
    name: "zone-change",
    load: 0.9,
    durationMs: 24_000,
    events: [
      { type: "zone", atMs: 6_000, zone: "a", state: "out" },
      { type: "zone", atMs: 16_000, zone: "a", state: "in" },
    ],
  },
  "failing-worker": {
    name: "failing-worker",
    load: 0.7,
    durationMs: DURATION_MS,
    events: [{ type: "behavior", atMs: 5_000, worker: 1, mode: "failing" }],
  },
  "bursts": {
    name: "bursts",
    load: 0.6,
    durationMs: DURATION_MS,
    bursts: { everyMs: 5_000, lengthMs: 500, factor: 6 },
    events: [],
  },
  "cancel-wave": {
    name: "cancel-wave",
    load: 0.9,
    durationMs: DURATION_MS,
    events: [
      { type: "cancel", atMs: 6_000, share: 0.5 },
      { type: "cancel", atMs: 12_000, share: 0.8 },
    ],
  },
};

function createSteadyScenario(name: string, load: number): LoadScenario {
  return { name, load, durationMs: DURATION_MS, events: [] };
}
