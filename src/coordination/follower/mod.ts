export { Heartbeats } from "./heartbeats.ts";
export type { KnownSnapshot } from "./known_snapshot.ts";
export { LogFollower } from "./log_follower.ts";
export { parseLogRecord } from "./parse_log_record.ts";
export { SnapshotWriter } from "./snapshot_writer.ts";
export { VIEW_LIMITS } from "./view_limits.ts";
