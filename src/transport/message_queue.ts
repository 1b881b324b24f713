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

  // Written out, since each item of an async generator costs several promises. The
  // client of Connect needs `throw`, with which it ends the iteration.
  [Symbol.asyncIterator](): AsyncIterator<T, undefined> {
    let items: T[] = [];
    let index = 0;
    let hasEnded = false;
    const next = async (): Promise<IteratorResult<T, undefined>> => {
      while (hasEnded || index === items.length) {
        if (hasEnded) {
          return { value: undefined, done: true };
        } else if (this.#items.length > 0) {
          items = this.#items;
          index = 0;
          this.#items = [];
        } else if (this.#error !== undefined) {
          throw this.#error;
        } else if (this.#isClosed) {
          return { value: undefined, done: true };
        } else {
          await new Promise<void>((resolve) => this.#wakeReader = resolve);
          this.#wakeReader = undefined;
        }
      }
      return { value: items[index++] as T, done: false };
    };
    const end = () => {
      hasEnded = true;
      this.#wakeReader?.();
    };
    return {
      next,
      return: () => {
        end();
        return Promise.resolve({ value: undefined, done: true });
      },
      throw: (error) => {
        end();
        return Promise.reject(error);
      },
    };
  }
}
