/** What an agent remembers about one attempt of a task. */
export type StartRecord<Result> =
  | { readonly state: "waiting"; readonly result: Promise<Result> }
  | {
    readonly state: "started";
    readonly coordinator: string;
    readonly result: Promise<Result>;
  }
  /** The attempt was cancelled or refused for good before it started. */
  | { readonly state: "tombstone" };
