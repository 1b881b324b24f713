/** Something that an operator or a fault does during a run. */
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
    /** Position of the worker in the shape. */
    readonly worker: number;
    readonly mode: "normal" | "failing";
  }
  /** Cancels a share of the jobs that have no answer at that time. */
  | { readonly type: "cancel"; readonly atMs: number; readonly share: number };
