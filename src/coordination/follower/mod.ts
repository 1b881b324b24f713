export { Heartbeats } from "./heartbeats.ts";
export { LogFollower } from "./log_follower.ts";
export { VIEW_LIMITS } from "./view_limits.ts";
