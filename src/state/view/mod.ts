export { applyEdits } from "./apply_edits.ts";
export type { ChangeOutcome } from "./change_outcome.ts";
export type { ChangeRecord } from "./change_record.ts";
export { ClusterView } from "./cluster_view.ts";
export { LogRecord } from "./log_record.ts";
export { Member } from "./member.ts";
export type { MemberState } from "./member_state.ts";
export type { ViewEvent } from "./view_event.ts";
export { ViewSnapshot } from "./view_snapshot.ts";
