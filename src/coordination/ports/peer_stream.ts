import type { PeerMessage } from "../messages/mod.ts";

/** One open stream to another process. */
export interface PeerStream {
  /** Sends a message. The message is discarded if the stream is closed. */
  send(message: PeerMessage): void;
  /**
   * Received messages, in order. The iteration ends when the stream closes and
   * throws when the stream fails.
   */
  readonly received: AsyncIterable<PeerMessage>;
  /** Closes the stream. */
  close(): void;
  /** Whether the stream is closed. */
  readonly isClosed: boolean;
}
