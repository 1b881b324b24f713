export type { Claim } from "./claim.ts";
export type { ClaimDecision } from "./claim_decision.ts";
export { ClaimTable } from "./claim_table.ts";
