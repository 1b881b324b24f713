import type { ClaimOutcome, StoredAnswer } from "../messages/mod.ts";

/** A reply to a claim, without the fields that depend on the stream. */
export interface ClaimServiceReply {
  readonly outcome: ClaimOutcome;
  readonly coordinator: string;
  readonly answer?: StoredAnswer | undefined;
}
