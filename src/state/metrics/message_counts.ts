import type { Metrics } from "./metrics.ts";

/**
 * Counts the messages between processes by kind. A message is wasted when it
 * led to no start, no answer and no confirmed state.
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
