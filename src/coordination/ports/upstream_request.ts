import type { DispatchError } from "../../state/errors/mod.ts";

/** A request to an upstream. */
export interface UpstreamRequest {
  readonly service: string;
  readonly key: string;
  readonly index: number;
  readonly attempt: number;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
  /**
   * Whether the request may run more than once. If not, it is sent on a
   * connection of its own.
   */
  readonly repeatable: boolean;
  /** Aborts the call. */
  readonly signal: AbortSignal;
  /**
   * Called when the connection is established, in the event-loop tick that
   * writes the first byte. If it returns an error, nothing is written and the
   * call fails with that error.
   */
  readonly checkStart: () => DispatchError | undefined;
}
