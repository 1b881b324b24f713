import type { Cancel } from "./cancel.ts";
import type { BatchFrame } from "./batch_frame.ts";
import type { Claim } from "./claim.ts";
import type { ClaimReply } from "./claim_reply.ts";
import type { Complete } from "./complete.ts";
import type { CompleteReply } from "./complete_reply.ts";
import type { Credit } from "./credit.ts";
import type { CreditReturn } from "./credit_return.ts";
import type { CreditRevoke } from "./credit_revoke.ts";
import type { Dispatch } from "./dispatch.ts";
import type { Heartbeat } from "./heartbeat.ts";
import type { Hello } from "./hello.ts";
import type { Result } from "./result.ts";
import type { Want } from "./want.ts";

/**
 * The messages between processes. The fields match the generated frames, so a
 * received frame is a message as it is.
 */
export type PeerMessage =
  | { case: "hello"; value: Hello }
  | { case: "heartbeat"; value: Heartbeat }
  | { case: "dispatch"; value: Dispatch }
  | { case: "result"; value: Result }
  | { case: "cancel"; value: Cancel }
  | { case: "credit"; value: Credit }
  | { case: "creditRevoke"; value: CreditRevoke }
  | { case: "creditReturn"; value: CreditReturn }
  | { case: "want"; value: Want }
  | { case: "claim"; value: Claim }
  | { case: "claimReply"; value: ClaimReply }
  | { case: "complete"; value: Complete }
  | { case: "completeReply"; value: CompleteReply }
  | { case: "batch"; value: BatchFrame };
