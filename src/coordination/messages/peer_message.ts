import type { CancelRequest } from "./cancel_request.ts";
import type { ClaimRequest } from "./claim_request.ts";
import type { ClaimReply } from "./claim_reply.ts";
import type { CompleteRequest } from "./complete_request.ts";
import type { CompleteReply } from "./complete_reply.ts";
import type { Credit } from "./credit.ts";
import type { CreditReturn } from "./credit_return.ts";
import type { CreditRevoke } from "./credit_revoke.ts";
import type { Dispatch } from "./dispatch.ts";
import type { Heartbeat } from "./heartbeat.ts";
import type { Hello } from "./hello.ts";
import type { DispatchResult } from "./dispatch_result.ts";
import type { CreditDemand } from "./credit_demand.ts";

/**
 * The messages between processes. The fields match the generated frames, so a
 * received frame can be used as a message without conversion.
 */
export type PeerMessage =
  | { case: "hello"; value: Hello }
  | { case: "heartbeat"; value: Heartbeat }
  | { case: "dispatch"; value: Dispatch }
  | { case: "result"; value: DispatchResult }
  | { case: "cancel"; value: CancelRequest }
  | { case: "credit"; value: Credit }
  | { case: "creditRevoke"; value: CreditRevoke }
  | { case: "creditReturn"; value: CreditReturn }
  | { case: "want"; value: CreditDemand }
  | { case: "claim"; value: ClaimRequest }
  | { case: "claimReply"; value: ClaimReply }
  | { case: "complete"; value: CompleteRequest }
  | { case: "completeReply"; value: CompleteReply };
