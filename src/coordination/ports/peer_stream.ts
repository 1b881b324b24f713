import type { PeerMessage } from "../messages/mod.ts";

/**
 * One open stream to another process, which carries messages of one type in
 * both directions.
 */
export interface PeerStream<T = PeerMessage> {
  /** Sends a message. The message is discarded if the stream is closed. */
  send(message: T): void;
  /**
   * Received messages, in order. The iteration ends when the stream closes and
   * throws when the stream fails.
   */
  readonly received: AsyncIterable<T>;
  /** Closes the stream. */
  close(): void;
  /** Whether the stream is closed. */
  readonly isClosed: boolean;
}
