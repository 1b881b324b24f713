/**
 * Cancels a dispatch. Identifies the task attempt, so that a dispatch that
 * arrives after the cancellation is refused.
 */
export interface CancelRequest {
  dispatchId: number;
  key: string;
  index: number;
  attempt: number;
}
