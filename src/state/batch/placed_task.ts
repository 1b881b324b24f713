/** The agent chosen for a task, and the expected end of the task. */
export interface PlacedTask {
  readonly index: number;
  readonly agentId: string;
  /** Expected time until the end, in milliseconds. */
  readonly endMs: number;
}
