/** An unbounded queue that one reader consumes as an async iterable. */
export class MessageQueue<T> implements AsyncIterable<T> {
  #items: T[] = [];
  #wakeReader: (() => void) | undefined;
  #isClosed = false;

  /** Whether the queue is closed. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Adds an item. It is dropped if the queue is closed. */
  add(item: T): void {
    if (!this.#isClosed) {
      this.#items.push(item);
      this.#wakeReader?.();
    }
  }

  /** Closes the queue; the iteration ends after the queued items. */
  close(): void {
    this.#isClosed = true;
    this.#wakeReader?.();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<T> {
    for (;;) {
      const items = this.#items;
      this.#items = [];
      yield* items;
      if (this.#items.length === 0) {
        if (this.#isClosed) {
          return;
        }
        await new Promise<void>((resolve) => this.#wakeReader = resolve);
        this.#wakeReader = undefined;
      }
    }
  }
}
