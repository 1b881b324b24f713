/**
 * Why a job is stopped: its client has asked for it, or another entry has got a
 * later submission of it.
 */
export type CancelReason = "requested" | "superseded";
