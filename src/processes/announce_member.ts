import { Announcer } from "../coordination/membership/mod.ts";
import type { Member } from "../state/view/mod.ts";
import type { PeerServer } from "../transport/peer/mod.ts";
import type { ProcessContext } from "./process_context.ts";
import { startPeerServer } from "./start_peer_server.ts";

export interface AnnounceMemberOptions
  extends
    Pick<Member, "id" | "role" | "httpAddress" | "services" | "slots">,
    Partial<Pick<Member, "processId">> {
  peerServer: PeerServer;
  signal: AbortSignal;
}

/**
 * Starts a member's server for streams and announces the member.
 * @param context - The process.
 * @param options - What the member is, apart from the settings file.
 * @returns The offset of the announcement; undefined after an abort.
 */
export async function announceMember(
  context: ProcessContext,
  options: AnnounceMemberOptions,
): Promise<number | undefined> {
  const { settings, log, follower } = context;
  const { peerServer, signal, ...member } = options;
  const port = await startPeerServer(context, peerServer, { signal });
  if (port === undefined) {
    return undefined;
  }
  const announcer = new Announcer({ log, view: follower.view });
  const { name, zone, rack, host } = settings;
  return await announcer.announce({
    ...member,
    name,
    zone,
    ...(rack === undefined ? {} : { rack }),
    peerAddress: settings.announcedPeerAddress ?? `${host}:${port}`,
  }, signal);
}
