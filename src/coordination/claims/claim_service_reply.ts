import type { ClaimOutcome, StoredAnswer } from "../messages/mod.ts";

/** Reply to a claim request, without the fields that depend on the stream. */
export interface ClaimServiceReply {
  readonly outcome: ClaimOutcome;
  readonly coordinator: string;
  readonly answer?: StoredAnswer | undefined;
}
