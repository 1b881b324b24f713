export { AgentHealth } from "./agent_health.ts";
export type { Candidate } from "./candidate.ts";
export { createPlacement } from "./create_placement.ts";
export type { Placement } from "./placement.ts";
export type { PlacementRequest } from "./placement_request.ts";
export { PlacementSelector } from "./placement_selector.ts";
export { RunTimes } from "./run_times.ts";
