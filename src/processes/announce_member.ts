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
 * Starts the peer server of a member and announces the member in the log.
 * @param context - Context of the process.
 * @param options - Fields of the member that the settings file doesn't contain.
 * @returns The log offset of the announcement; undefined after an abort.
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
