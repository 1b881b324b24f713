import type { DispatchError } from "../errors/mod.ts";

/**
 * What became of a change: every process reaches the same outcome for the same
 * record.
 */
export type ChangeOutcome =
  | { readonly type: "accepted"; readonly revision: number }
  | {
    readonly type: "rejected";
    readonly error: DispatchError;
    /** Revision that the change lost against, for a conflict. */
    readonly winner?: number;
  };
