/** The whole answer of a task. */
export interface TaskAnswer {
  readonly index: number;
  readonly status: number;
  readonly body: Uint8Array;
  readonly digest: string;
}
