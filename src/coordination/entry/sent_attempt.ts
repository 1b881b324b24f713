import type { DispatchError } from "../../state/errors/mod.ts";
import type { DispatchResult } from "../messages/mod.ts";

/** An attempt that was sent to an agent. */
export interface SentAttempt {
  readonly number: number;
  readonly agentId: string;
  /** Resolves when the stream to the agent stays broken. */
  readonly streamBroken: Promise<void>;
  /** Waits for the result. An abort cancels the attempt. */
  wait(signal: AbortSignal): Promise<DispatchResult | DispatchError>;
}
