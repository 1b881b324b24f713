export { ClaimService } from "./claim_service.ts";
export type { ClaimServiceReply } from "./claim_service_reply.ts";
export { DepartureHistory } from "./departure_history.ts";
export { GatherHandler } from "./gather_handler.ts";
export { Takeover } from "./takeover.ts";
export { getAnswerSizeBytes } from "./get_answer_size_bytes.ts";
