import type { PeerStream } from "../ports/mod.ts";
import type { BatchBody, BatchFrame } from "../messages/mod.ts";

export interface BatchStreamOptions {
  getTime?: () => number;
}

/**
 * One end of a stream of batch frames. Each frame carries the time at which it
 * was sent and echoes the latest such time received from the other side. So
 * each side knows when it sent the newest frame that the other has received.
 */
export class BatchStream {
  readonly #stream: PeerStream;
  readonly #getTime: () => number;
  #receivedSentAt = 0;
  #acknowledgedSentAt = -Infinity;
  #sentAt = 0;

  constructor(stream: PeerStream, options: BatchStreamOptions = {}) {
    this.#stream = stream;
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** Gets the time of the last sent frame, on the monotonic clock. */
  get sentAt(): number {
    return this.#sentAt;
  }

  /**
   * Gets the time at which the newest frame was sent that the other side has
   * acknowledged; `-Infinity` when there is none.
   */
  get acknowledgedSentAt(): number {
    return this.#acknowledgedSentAt;
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
        this.#acknowledgedSentAt = Math.max(this.#acknowledgedSentAt, echoAtMs);
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
