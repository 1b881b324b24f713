import type { ClusterShape } from "./cluster_shape.ts";

/**
 * The shapes of the two existing clusters, which section 1.6 of the design page
 * describes. The speeds are unequal and add up to the number of agents, so the
 * capacity equals that of agents of speed 1.
 */
export const CLUSTER_SHAPES = {
  groupement: {
    name: "groupement",
    entryZones: ["a", "b", "c"],
    agentZones: ["a", "b", "c", "a", "b", "c", "a", "b", "c", "a"],
    speeds: [1.5, 1.25, 1.25, 1, 1, 1, 1, 0.75, 0.75, 0.5],
    slots: 8,
    maxConnections: 64,
    clientLatencyMs: 1,
  },
  direccion: {
    name: "direccion",
    entryZones: ["a", "b", "c", "d"],
    agentZones: ["a", "b", "c", "d", "a", "b", "c", "d", "a", "b"],
    speeds: [1.5, 1.25, 1.25, 1, 1, 1, 1, 0.75, 0.75, 0.5],
    slots: 8,
    maxConnections: 64,
    clientLatencyMs: 3,
  },
} as const satisfies Record<string, ClusterShape>;
