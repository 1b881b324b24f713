import type { DispatchError } from "../../state/errors/mod.ts";

/** One call of an upstream. */
export interface UpstreamRequest {
  readonly service: string;
  readonly key: string;
  readonly index: number;
  readonly attempt: number;
  readonly body: Uint8Array;
  readonly timeoutMs: number;
  /** A request that isn't repeatable gets a connection of its own. */
  readonly repeatable: boolean;
  /** Aborts the call. */
  readonly signal: AbortSignal;
  /**
   * Called once the connection stands, in the tick that writes the first byte.
   * The call ends without a write when it returns an error.
   */
  readonly checkStart: () => DispatchError | undefined;
}
