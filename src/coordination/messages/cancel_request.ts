/**
 * Cancels a dispatch. It names the task, so that a dispatch that arrives later
 * is refused.
 */
export interface CancelRequest {
  dispatchId: number;
  key: string;
  index: number;
  attempt: number;
}
