/** The end of an incarnation of a worker, as its runs are told. */
export interface WorkerEnd {
  /** Identifies the end in reports to the entries. */
  readonly id: string;
  /** `lost`: the worker had announced that it leaves. */
  readonly outcome: "crashed" | "lost";
  /**
   * Time of the end on the monotonic clock, as far as the agent knows it, in
   * milliseconds.
   */
  readonly at: number;
  readonly reason: string;
  /** Start of the incarnation, in milliseconds since 1970. */
  readonly bornAtMs: number | undefined;
}
