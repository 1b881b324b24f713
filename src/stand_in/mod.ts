export { LogStandIn } from "./log_stand_in.ts";
export type { TaskStart } from "./task_start.ts";
export { UpstreamBehavior } from "./upstream_behavior.ts";
export { UpstreamStandIn } from "./upstream_stand_in.ts";
