import { create } from "@bufbuild/protobuf";
import type { PeerMessage } from "../../coordination/messages/mod.ts";
import { type Frame, FrameSchema } from "../gen/peer_pb.ts";

/** Creates the frame that carries a message. */
export function createFrame(message: PeerMessage): Frame {
  return create(FrameSchema, { kind: message });
}
