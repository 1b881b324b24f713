import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import type { LinkAction } from "./link_action.ts";
import type { ResendDisruption } from "./resend_disruption.ts";
import type { SoakFault } from "./soak_fault.ts";
import { WORKER_KINDS } from "./worker_kinds.ts";

/** Time between the starts of two faults; several are active at a time. */
const FAULT_GAP_MS = { min: 50, max: 1_500 } as const;

/** Duration of a fault. */
const FAULT_DURATION_MS = { min: 100, max: 4_000 } as const;

/** Percentage of faults that the next one follows after the shortest gap. */
const OVERLAP_PERCENT = 25;

const LINKS = ["peer", "worker", "agent_store", "entry_store"] as const;

const ACTIONS: readonly LinkAction[] = [
  "refuse",
  "hold",
  "hold_forward",
  "hold_backward",
  "delay",
  "reset",
  "silence",
];

const STORE_FAULTS = [
  { isUnavailable: true },
  { isSilent: true },
  { delayMs: 800 },
  { losesAnswers: true },
  { appendsLateMs: 2_000 },
] as const;

const WORKER_FAULTS = [
  { losesAnswers: true },
  { ordersLateMs: 2_500 },
  { failsRuns: true },
  { stallsRuns: true },
  { capacityShare: 0.4 },
] as const;

const KINDS = [
  ...["kill", "kill", "stop", "stop", "pause", "pause", "hup"] as const,
  ...["link", "link", "link", "link", "store", "store_history"] as const,
  ...["worker", "worker", "worker_crash", "worker_crash"] as const,
  ...["worker_drain", "zone_out", "config", "config", "burst"] as const,
  "kill_all",
] as const;

/**
 * Time between groups of jobs that are sent again, time from these to their
 * disruption, and its duration.
 */
const RESEND_MS = {
  gap: [500, 2_500],
  disruption: [100, 900],
  duration: [500, 2_800],
} as const;

const RESEND_DISRUPTIONS: readonly ResendDisruption[] = [
  ...["pause_entry", "pause_entry", "kill_entry"] as const,
  ...["pause_agents", "kill_agents"] as const,
  ...["hold_forward", "hold_backward"] as const,
];

/**
 * Time between replacements of workers by others of another kind, and for how long the
 * streams to the agent are held: less than the time after which they are given up.
 */
const REPLACEMENT_MS = { gap: [500, 3_000], duration: [150, 600] } as const;

/** Keeps the generator of the replacements apart from the others of a seed. */
const REPLACEMENT_SEED_OFFSET = 1_000_003;

export interface SoakPlanOptions {
  seed: number;
  lengthMs: number;
  entries: number;
  agents: number;
  zones: readonly string[];
}

/** Creates the faults of a run; equal options give equal faults. */
export function createSoakPlan(options: SoakPlanOptions): SoakFault[] {
  const { seed, lengthMs, entries, agents, zones } = options;
  const generator = xoroshiro128plus(seed);
  const getInt = (from: number, to: number) =>
    unsafeUniformIntDistribution(from, to, generator);
  const select = <T>(items: readonly T[]): T =>
    items[getInt(0, items.length - 1)] as T;
  const faults: SoakFault[] = [];
  let atMs = FAULT_GAP_MS.max;
  while (atMs < lengthMs) {
    faults.push(createFault(atMs));
    const isImmediate = getInt(1, 100) <= OVERLAP_PERCENT;
    atMs += isImmediate
      ? FAULT_GAP_MS.min
      : getInt(FAULT_GAP_MS.min, FAULT_GAP_MS.max);
  }
  return [
    ...faults,
    ...createResends(options),
    ...createReplacements(options),
  ]
    .sort((a, b) => a.atMs - b.atMs);

  function createFault(startMs: number): SoakFault {
    const kind = select(KINDS);
    const base = {
      atMs: startMs,
      forMs: getInt(FAULT_DURATION_MS.min, FAULT_DURATION_MS.max),
    };
    switch (kind) {
      case "kill":
      case "stop":
      case "pause":
      case "hup": {
        const role = select(["entry", "agent"] as const);
        const count = role === "entry" ? entries : agents;
        return { ...base, kind, role, target: getInt(0, count - 1) };
      }
      case "link": {
        const link = select(LINKS);
        const count = link === "entry_store" ? entries : agents;
        const target = getInt(0, count - 1);
        return { ...base, kind, link, action: select(ACTIONS), target };
      }
      case "store":
        return { ...base, kind, faults: select(STORE_FAULTS) };
      case "worker":
        return {
          ...base,
          kind,
          target: getInt(0, agents - 1),
          faults: select(WORKER_FAULTS),
        };
      case "worker_crash":
        return {
          ...base,
          kind,
          target: getInt(0, agents - 1),
          keepsId: getInt(0, 1) === 1,
        };
      case "worker_drain":
        return { ...base, kind, target: getInt(0, agents - 1) };
      case "zone_out":
        // Longer than the time within which starts in the zone must end, so that
        // the oracle can check this bound.
        return { ...base, forMs: 8_000, kind, zone: select(zones) };
      case "burst":
        return { ...base, kind, factor: getInt(2, 5) };
      case "kill_all":
      case "store_history":
      case "config":
        return { ...base, kind };
      default:
        return kind satisfies never;
    }
  }
}

/** Creates groups of jobs that are sent again. */
function createResends(
  { seed, lengthMs, entries }: SoakPlanOptions,
): SoakFault[] {
  const series = { seed: ~seed, lengthMs, gapMs: RESEND_MS.gap };
  return createSeries(series, (atMs, getInt) => ({
    ...{ kind: "resend", atMs },
    forMs: getInt(RESEND_MS.duration),
    disruption: RESEND_DISRUPTIONS[
      getInt([0, RESEND_DISRUPTIONS.length - 1])
    ] as ResendDisruption,
    target: getInt([0, entries - 1]),
    afterMs: getInt(RESEND_MS.disruption),
    isReset: getInt([0, 1]) === 1,
  }));
}

/** Creates replacements of workers by others, which may be of another kind. */
function createReplacements(
  { seed, lengthMs, agents }: SoakPlanOptions,
): SoakFault[] {
  const series = {
    seed: seed + REPLACEMENT_SEED_OFFSET,
    ...{ lengthMs, gapMs: REPLACEMENT_MS.gap },
  };
  return createSeries(series, (atMs, getInt) => ({
    ...{ kind: "worker_replaced", atMs },
    forMs: getInt(REPLACEMENT_MS.duration),
    target: getInt([0, agents - 1]),
    keepsId: getInt([0, 1]) === 1,
    workerKind: WORKER_KINDS[getInt([0, WORKER_KINDS.length - 1])] as string,
  }));
}

type IntRange = readonly [from: number, to: number];

/**
 * Creates faults with random times between them. Uses a generator of its own, so that
 * the other faults of the plan don't depend on them.
 */
function createSeries(
  options: { seed: number; lengthMs: number; gapMs: IntRange },
  createFault: (
    atMs: number,
    getInt: (range: IntRange) => number,
  ) => SoakFault,
): SoakFault[] {
  const { seed, lengthMs, gapMs } = options;
  const generator = xoroshiro128plus(seed);
  const getInt = (range: IntRange) =>
    unsafeUniformIntDistribution(...range, generator);
  const faults: SoakFault[] = [];
  for (
    let atMs = getInt(gapMs);
    atMs < lengthMs;
    atMs += getInt(gapMs)
  ) {
    faults.push(createFault(atMs, getInt));
  }
  return faults;
}
