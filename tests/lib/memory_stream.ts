import type { PeerStream } from "../../src/coordination/ports/mod.ts";
import type { BatchFrame } from "../../src/coordination/messages/mod.ts";
import { MessageQueue } from "../../src/transport/message_queue.ts";

/** One end of an in-memory stream. */
export class MemoryStream implements PeerStream<BatchFrame> {
  readonly sent: BatchFrame[] = [];
  readonly received = new MessageQueue<BatchFrame>();

  get isClosed(): boolean {
    return this.received.isClosed;
  }

  send(message: BatchFrame): void {
    this.sent.push(message);
  }

  close(): void {
    this.received.close();
  }
}
