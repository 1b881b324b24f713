import type { PeerStream } from "../../src/coordination/ports/mod.ts";
import type { PeerMessage } from "../../src/coordination/messages/mod.ts";
import { MessageQueue } from "../../src/transport/message_queue.ts";

/** One end of an in-memory stream. */
export class MemoryStream implements PeerStream {
  readonly sent: PeerMessage[] = [];
  readonly received = new MessageQueue<PeerMessage>();

  get isClosed(): boolean {
    return this.received.isClosed;
  }

  send(message: PeerMessage): void {
    this.sent.push(message);
  }

  close(): void {
    this.received.close();
  }
}
