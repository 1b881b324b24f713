import type { DispatchError } from "../errors/mod.ts";

/**
 * The outcome of a change. Every process reaches the same outcome for the same
 * record.
 */
export type ChangeOutcome =
  | { readonly type: "accepted"; readonly revision: number }
  | {
    readonly type: "rejected";
    readonly error: DispatchError;
    /**
     * Revision of the earlier change that this one conflicts with; absent for
     * other rejections.
     */
    readonly winner?: number;
  };
