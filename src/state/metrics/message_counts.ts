import type { Metrics } from "./metrics.ts";

/**
 * Counts the messages between processes by kind. A message is wasted when it
 * led to no start and no answer, and confirmed nothing that the receiver needed:
 * a refused dispatch and its result, a credit that is returned unused, a credit
 * request that yields no credit, and a revocation that returns none, with its
 * reply.
 */
export class MessageCounts {
  readonly #metrics: Metrics;
  readonly #names = new Map<string, string>();

  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  /** Records that a message was sent. */
  recordSent(kind: string): void {
    this.#metrics.incrementCounter(`messages_sent_${this.#getName(kind)}`);
  }

  /** Records that a sent message was wasted. */
  recordWasted(kind: string): void {
    this.#metrics.incrementCounter(`messages_wasted_${this.#getName(kind)}`);
  }

  #getName(kind: string): string {
    let name = this.#names.get(kind);
    if (name === undefined) {
      name = kind.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
      this.#names.set(kind, name);
    }
    return name;
  }
}
