/** An unbounded queue that one reader consumes as an async iterable. */
export class MessageQueue<T> implements AsyncIterable<T> {
  #items: T[] = [];
  #wakeReader: (() => void) | undefined;
  #isClosed = false;
  #error: Error | undefined;

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

  /**
   * Closes the queue; the iteration ends after the queued items, or throws the
   * error if there is one.
   */
  close(error?: Error): void {
    if (!this.#isClosed) {
      this.#isClosed = true;
      this.#error = error;
      this.#wakeReader?.();
    }
  }

  async *[Symbol.asyncIterator](): AsyncIterator<T> {
    for (;;) {
      const items = this.#items;
      this.#items = [];
      for (const item of items) {
        yield item;
      }
      if (this.#items.length > 0) {
        continue;
      }
      if (this.#error !== undefined) {
        throw this.#error;
      }
      if (this.#isClosed) {
        return;
      }
      await new Promise<void>((resolve) => this.#wakeReader = resolve);
      this.#wakeReader = undefined;
    }
  }
}
