/** State of one attempt of a task at an agent. */
export type StartRecord<Result> =
  | { readonly state: "waiting"; readonly result: Promise<Result> }
  | {
    readonly state: "started";
    readonly coordinator: string;
    readonly result: Promise<Result>;
  }
  /** The attempt was cancelled or permanently refused before it started. */
  | { readonly state: "tombstone" };
