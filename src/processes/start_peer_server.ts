import type { PeerServer } from "../transport/peer/mod.ts";
import type { ProcessContext } from "./process_context.ts";

/** Delay before listening is retried, in milliseconds. */
const RETRY_DELAY_MS = 500;

/**
 * Starts the peer server and returns its port, or undefined after an abort.
 * Retries if the port is in use, since the previous process may still be
 * ending. The member isn't announced before the server listens.
 */
export async function startPeerServer(
  context: ProcessContext,
  server: PeerServer,
  options: { signal: AbortSignal },
): Promise<number | undefined> {
  while (!options.signal.aborted) {
    try {
      return await server.start();
    } catch (error) {
      const { peerPort } = context.settings;
      const { message } = error as Error;
      context.logger.warn("can't listen for peer connections", {
        peerPort,
        message,
      });
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }
  return undefined;
}
