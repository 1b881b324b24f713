export { AgentHealth } from "./agent_health.ts";
export type { Candidate } from "./candidate.ts";
export { createPlacementPolicy } from "./create_placement_policy.ts";
export type { PlacementPolicy } from "./placement_policy.ts";
export type { PlacementRequest } from "./placement_request.ts";
export { PlacementSelector } from "./placement_selector.ts";
export { RunTimes } from "./run_times.ts";
