export { ClaimService } from "./claim_service.ts";
export type { ClaimServiceReply } from "./claim_service_reply.ts";
