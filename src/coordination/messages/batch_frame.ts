import type { BatchBody } from "./batch_body.ts";

/** A frame of the stream by which an entry runs batch tasks at an agent. */
export interface BatchFrame {
  /** Time of the sender's monotonic clock, in whole milliseconds. */
  sentAtMs: number;
  /** Latest `sentAtMs` that the sender has received on this stream. */
  echoAtMs: number;
  kind: BatchBody;
}
