import type { PeerStream } from "../../coordination/ports/mod.ts";
import type { PeerMessage } from "../../coordination/messages/mod.ts";
import type { Frame } from "../../protocol/gen/peer_pb.ts";
import { createFrame, readFrame } from "../../protocol/peer/mod.ts";
import { MessageQueue } from "../message_queue.ts";

/** Adapts streams of frames in both directions to a `PeerStream`. */
export class FrameStream implements PeerStream {
  readonly received: AsyncIterable<PeerMessage>;
  readonly #outgoingFrames = new MessageQueue<Frame>();
  readonly #onClose: () => void;

  /**
   * @param received - Frames received from the peer.
   * @param options - `onClose` is called when this side closes the stream.
   */
  constructor(
    received: AsyncIterable<Frame>,
    options: { onClose?: () => void } = {},
  ) {
    this.received = readMessages(received);
    this.#onClose = options.onClose ?? (() => {});
  }

  /** Gets the frames to send to the peer. */
  get outgoingFrames(): AsyncIterable<Frame> {
    return this.#outgoingFrames;
  }

  get isClosed(): boolean {
    return this.#outgoingFrames.isClosed;
  }

  send(message: PeerMessage): void {
    this.#outgoingFrames.add(createFrame(message));
  }

  close(): void {
    if (!this.#outgoingFrames.isClosed) {
      this.#outgoingFrames.close();
      this.#onClose();
    }
  }
}

async function* readMessages(
  frames: AsyncIterable<Frame>,
): AsyncGenerator<PeerMessage> {
  for await (const frame of frames) {
    const message = readFrame(frame);
    if (message !== undefined) {
      yield message;
    }
  }
}
