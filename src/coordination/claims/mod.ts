export { ClaimService } from "./claim_service.ts";
export type { ClaimServiceReply } from "./claim_service_reply.ts";
export { Departures } from "./departures.ts";
export { GatherHandler } from "./gather_handler.ts";
export { Takeover } from "./takeover.ts";
export { getAnswerBytes } from "./get_answer_bytes.ts";
