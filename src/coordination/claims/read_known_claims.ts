import type { PeerClient } from "../ports/mod.ts";
import type { GatherReply, GatherRequest } from "../messages/mod.ts";

/**
 * Reads all pages of a member's reply to a gather request. Returns undefined
 * when the member can't be reached, isn't ready, or its home set changed
 * between two pages; the caller has to retry then.
 */
export async function readKnownClaims(
  peers: Pick<PeerClient, "gather">,
  address: string,
  request: Omit<GatherRequest, "position">,
): Promise<GatherReply | undefined> {
  let merged: GatherReply | undefined;
  let position = 0;
  do {
    const page = await peers.gather(address, { ...request, position });
    if (page.isErr() || !page.value.ready) {
      return undefined;
    }
    const { epoch, isComplete, claims, next } = page.value;
    if (merged !== undefined && merged.epoch !== epoch) {
      return undefined;
    }
    merged = {
      ready: true,
      epoch,
      isComplete: isComplete && (merged?.isComplete ?? true),
      claims: [...merged?.claims ?? [], ...claims],
      next,
    };
    position = next;
  } while (position > 0);
  return merged;
}
