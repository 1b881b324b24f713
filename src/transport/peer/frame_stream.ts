import type { PeerStream } from "../../coordination/ports/mod.ts";
import type { PeerMessage } from "../../coordination/messages/mod.ts";
import type { Frame } from "../../protocol/gen/peer_pb.ts";
import { createFrame, readFrame } from "../../protocol/peer/mod.ts";
import { MessageQueue } from "../message_queue.ts";

/** A stream of frames as a `PeerStream`. */
export class FrameStream implements PeerStream {
  readonly received: AsyncIterable<PeerMessage>;
  readonly #sent = new MessageQueue<Frame>();
  readonly #onClose: () => void;

  /**
   * @param received - Frames from the peer.
   * @param options - `onClose` is called when this side closes the stream.
   */
  constructor(
    received: AsyncIterable<Frame>,
    options: { onClose?: () => void } = {},
  ) {
    this.received = readMessages(received);
    this.#onClose = options.onClose ?? (() => {});
  }

  /** Gets the frames to write to the peer. */
  get outgoingFrames(): AsyncIterable<Frame> {
    return this.#sent;
  }

  get isClosed(): boolean {
    return this.#sent.isClosed;
  }

  send(message: PeerMessage): void {
    this.#sent.add(createFrame(message));
  }

  close(): void {
    if (!this.#sent.isClosed) {
      this.#sent.close();
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
