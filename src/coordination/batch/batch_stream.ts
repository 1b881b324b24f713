import type { PeerStream } from "../ports/mod.ts";
import type { BatchBody, BatchFrame } from "../messages/mod.ts";

export interface BatchStreamOptions {
  getTime?: () => number;
}

/**
 * One end of a stream of batch frames. Each frame carries the time of its
 * sending and echoes the latest such time of the other side, so that both sides
 * know how old their proof is that the other one hears them.
 */
export class BatchStream {
  readonly #stream: PeerStream;
  readonly #getTime: () => number;
  #receivedSentAt = 0;
  #provenAt = -Infinity;
  #sentAt = 0;

  constructor(stream: PeerStream, options: BatchStreamOptions = {}) {
    this.#stream = stream;
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** When the last frame was sent, on the monotonic clock. */
  get sentAt(): number {
    return this.#sentAt;
  }

  /** When the latest frame was sent that the other side has answered. */
  get acknowledgedSentAt(): number {
    return this.#provenAt;
  }

  send(body: BatchBody): void {
    this.#sentAt = this.#getTime();
    const value: BatchFrame = {
      sentAtMs: this.#sentAt,
      echoAtMs: this.#receivedSentAt,
      kind: body,
    };
    this.#stream.send({ case: "batch", value });
  }

  /** Receives the frames of the other side until the stream ends. */
  async *receive(): AsyncGenerator<BatchBody> {
    for await (const message of this.#stream.received) {
      if (message.case !== "batch") {
        continue;
      }
      const { sentAtMs, echoAtMs, kind } = message.value;
      this.#receivedSentAt = Math.max(this.#receivedSentAt, sentAtMs);
      if (echoAtMs > 0) {
        this.#provenAt = Math.max(this.#provenAt, echoAtMs);
      }
      if (kind.case !== undefined) {
        yield kind;
      }
    }
  }

  close(): void {
    this.#stream.close();
  }
}
