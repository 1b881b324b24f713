import type { Claim } from "./claim.ts";

/** Decision of the claim table about a claim request. */
export type ClaimDecision<Answer> =
  | { readonly type: "granted" }
  | { readonly type: "running"; readonly coordinator: string }
  | { readonly type: "done"; readonly claim: Claim<Answer> }
  | { readonly type: "conflict" }
  | { readonly type: "lost" };
