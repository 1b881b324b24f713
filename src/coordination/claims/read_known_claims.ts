import type { PeerClient } from "../ports/mod.ts";
import type { GatherReply, GatherRequest } from "../messages/mod.ts";

/**
 * Reads all pages of a member's answer to a gather call. Gets undefined when
 * the member can't be reached, isn't ready, or its homes changed between two
 * pages; the caller asks again.
 */
export async function readKnownClaims(
  peers: Pick<PeerClient, "gather">,
  address: string,
  request: Omit<GatherRequest, "position">,
): Promise<GatherReply | undefined> {
  let whole: GatherReply | undefined;
  let position = 0;
  do {
    const page = await peers.gather(address, { ...request, position });
    if (page.isErr() || !page.value.ready) {
      return undefined;
    }
    const { epoch, isComplete, claims, next } = page.value;
    if (whole !== undefined && whole.epoch !== epoch) {
      return undefined;
    }
    whole = {
      ready: true,
      epoch,
      isComplete: isComplete && (whole?.isComplete ?? true),
      claims: [...whole?.claims ?? [], ...claims],
      next,
    };
    position = next;
  } while (position > 0);
  return whole;
}
