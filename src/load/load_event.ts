/** An operator's action, a fault or cancellations during a load run. */
export type LoadEvent =
  | {
    readonly type: "zone";
    readonly atMs: number;
    readonly zone: string;
    readonly state: "in" | "out";
  }
  | {
    readonly type: "behavior";
    readonly atMs: number;
    /** Index of the worker in the cluster shape. */
    readonly worker: number;
    readonly mode: "normal" | "failing";
  }
  /** Cancels a share of the jobs that have no answer at that time. */
  | { readonly type: "cancel"; readonly atMs: number; readonly share: number };
