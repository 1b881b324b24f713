/** A task start that the upstream stand-in has recorded. */
export interface TaskStart {
  readonly key: string;
  readonly index: number;
  readonly attempt: number;
  /** Wall-clock time of the start, in milliseconds. */
  readonly timeMs: number;
}
