import type { ChangeOutcome } from "./change_outcome.ts";
import type { MemberState } from "./member_state.ts";

/** A change of the view that an applied record or snapshot caused. */
export type ViewEvent =
  | {
    readonly type: "change";
    readonly id: string;
    readonly outcome: ChangeOutcome;
  }
  /** A record that this version can't read was passed over. */
  | { readonly type: "skipped" }
  | { readonly type: "joined"; readonly member: MemberState }
  | { readonly type: "leaving"; readonly member: MemberState }
  | { readonly type: "left"; readonly member: MemberState }
  | { readonly type: "removed"; readonly member: MemberState };
