import type { PeerMessage } from "../messages/mod.ts";

/** One open stream to another process. */
export interface PeerStream {
  /** Sends a message; it is dropped when the stream is closed. */
  send(message: PeerMessage): void;
  /**
   * Received messages, in order; ends when the stream closes and throws when it
   * breaks.
   */
  readonly received: AsyncIterable<PeerMessage>;
  /** Closes the stream. */
  close(): void;
  /** Is the stream closed? */
  readonly isClosed: boolean;
}
