/** One task as the caller described it. */
export interface TaskSpec {
  readonly index: number;
  readonly body: Uint8Array;
  /** May the task run more than once? */
  readonly repeatable: boolean;
  readonly timeoutMs?: number | undefined;
}
