import type { BatchBody } from "./batch_body.ts";

/** A frame of the stream on which an entry runs tasks at an agent. */
export interface BatchFrame {
  /** Monotonic clock of the sender, in milliseconds. */
  sentAtMs: number;
  /** The latest `sentAtMs` that the sender has received on this stream. */
  echoAtMs: number;
  kind: BatchBody | { case: undefined; value?: undefined };
}
