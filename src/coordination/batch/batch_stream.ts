import type { PeerStream } from "../ports/mod.ts";
import type { BatchBody, BatchFrame } from "../messages/mod.ts";

export interface BatchStreamOptions {
  getTime?: () => number;
}

/**
 * One end of a stream of batch frames, by which an entry and an agent of the
 * platform start, stop and report the tasks of jobs (`batch` in the protocol).
 * Each frame carries the time at which it was sent and echoes the latest such
 * time received from the other side. So each side knows when it sent the newest
 * frame that the other has received.
 */
export class BatchStream {
  readonly #stream: PeerStream<BatchFrame>;
  readonly #getTime: () => number;
  #receivedSentAt = 0;
  #frameSentAt = 0;
  #acknowledgedSentAt = -Infinity;
  #sentAt = 0;

  constructor(
    stream: PeerStream<BatchFrame>,
    options: BatchStreamOptions = {},
  ) {
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

  /** Gets when the frame was sent that is being handled, on the sender's clock. */
  get frameSentAt(): number {
    return this.#frameSentAt;
  }

  send(body: BatchBody): void {
    this.#sentAt = this.#getTime();
    this.#stream.send({
      sentAtMs: Math.floor(this.#sentAt),
      echoAtMs: this.#receivedSentAt,
      kind: body,
    });
  }

  /**
   * Receives the frames of the other side, and calls `handle` for each, until the
   * stream ends.
   */
  async receive(handle: (body: BatchBody) => void): Promise<void> {
    for await (const { sentAtMs, echoAtMs, kind } of this.#stream.received) {
      this.#receivedSentAt = Math.max(this.#receivedSentAt, sentAtMs);
      if (echoAtMs > 0) {
        this.#acknowledgedSentAt = Math.max(this.#acknowledgedSentAt, echoAtMs);
      }
      this.#frameSentAt = sentAtMs;
      handle(kind);
    }
  }

  close(): void {
    this.#stream.close();
  }
}
