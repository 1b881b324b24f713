export { announceAgent } from "./announce_agent.ts";
export { MemberRecord } from "./member_record.ts";
export { OperatorFollower } from "./operator_follower.ts";
export type { ParseOperatorRecord } from "./parse_operator_record.ts";
export { TopicFollower } from "./topic_follower.ts";
