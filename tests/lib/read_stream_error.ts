import type { PeerStream } from "../../src/coordination/ports/mod.ts";

/**
 * Reads a stream to its end.
 * @returns The message of the error that ends it; empty if there is none.
 */
export async function readStreamError<T>(
  stream: PeerStream<T>,
): Promise<string> {
  try {
    for await (const _ of stream.received) {
      // Only the end of the stream is of interest.
    }
  } catch (error) {
    return (error as Error).message;
  }
  return "";
}
