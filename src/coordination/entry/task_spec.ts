/** One task as specified by the caller. */
export interface TaskSpec {
  readonly index: number;
  readonly body: Uint8Array;
  /** Whether the task may run more than once. */
  readonly repeatable: boolean;
  readonly timeoutMs?: number | undefined;
}
