/** Where a task goes, and when it is expected to end. */
export interface PlacedTask {
  readonly index: number;
  readonly agentId: string;
  /** Expected time until the end, in milliseconds. */
  readonly endMs: number;
}
