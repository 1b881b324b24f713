/** An unbounded queue that is read as an async iterable by one reader. */
export class MessageQueue<T> implements AsyncIterable<T> {
  #items: T[] = [];
  #wake: (() => void) | undefined;
  #isClosed = false;

  /** Is the queue closed? */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Adds an item; it is dropped when the queue is closed. */
  add(item: T): void {
    if (!this.#isClosed) {
      this.#items.push(item);
      this.#wake?.();
    }
  }

  /** Ends the iteration after the items that wait. */
  close(): void {
    this.#isClosed = true;
    this.#wake?.();
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
        await new Promise<void>((resolve) => this.#wake = resolve);
        this.#wake = undefined;
      }
    }
  }
}
