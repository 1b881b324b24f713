import type { PeerMessage } from "../../coordination/messages/mod.ts";
import type { Frame } from "../gen/peer_pb.ts";

/**
 * Gets the message that a frame carries; undefined for a kind that this version
 * doesn't know.
 */
export function readFrame(frame: Frame): PeerMessage | undefined {
  return frame.kind.case === undefined ? undefined : frame.kind;
}
