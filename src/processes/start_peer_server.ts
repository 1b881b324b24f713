import type { PeerServer } from "../transport/peer/mod.ts";
import type { ProcessContext } from "./process_context.ts";

/** Wait before the server tries to listen again, in milliseconds. */
const RETRY_DELAY_MS = 500;

/**
 * Starts the server for streams, and gets its port. A port that is taken may be
 * free a moment later, when the process before has ended; until then this one
 * isn't announced. Gets undefined after an abort.
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
      context.logger.warn("can't listen for streams", { peerPort, message });
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }
  return undefined;
}
