export { AnnouncementSchedule } from "./announcement_schedule.ts";
export { announceAgent } from "./announce_agent.ts";
export { MemberRecord } from "./member_record.ts";
export { OperatorFollower } from "./operator_follower.ts";
export { OperatorStateExchange } from "./operator_state_exchange.ts";
export type { OperatorRecordParser } from "./operator_record_parser.ts";
export { TopicFollower } from "./topic_follower.ts";
