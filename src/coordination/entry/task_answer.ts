/** The upstream's answer to a task. */
export interface TaskAnswer {
  readonly index: number;
  readonly status: number;
  readonly body: Uint8Array;
  readonly digest: string;
}
