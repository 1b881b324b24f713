import { setTimeout as wait } from "node:timers/promises";
import type {
  EventLog,
  KeyedPage,
  KeyedStore,
  KeyedTopic,
} from "../../ports/mod.ts";

/**
 * Longest wait of one read for a new record, in milliseconds. A connection that
 * no longer answers is detected after this time plus the store client's own
 * timeout, so that a change still takes effect within the two seconds that the
 * platform allows after a fault has ended.
 */
const MAX_READ_WAIT_MS = 1_000;

/** Delays after failed reads, in milliseconds. */
const RETRY_DELAY_MS = { first: 50, max: 500 } as const;

export interface TopicFollowerOptions {
  topic: KeyedTopic;
  store: KeyedStore;
  log: EventLog;
  /**
   * Applies a page. `isCompacted` says that it holds the newest record of each
   * key rather than the records since the last page.
   */
  apply: (page: KeyedPage, options: { isCompacted: boolean }) => void;
  /** Gets an offset that is known from another source, such as a peer. */
  getOffset?: () => number;
  readWaitMs?: number;
}

/**
 * Follows a topic of the store: reads the newest record of each key first, then
 * each new record. Starts over when records were deleted before they were read.
 */
export class TopicFollower {
  readonly #options: TopicFollowerOptions;
  #offset: number | undefined;
  #isReachable: boolean | undefined;
  #isStopped = false;
  #receivedBytes = 0;
  readonly #onProgress = (byteCount: number): void => {
    this.#receivedBytes += byteCount;
  };

  constructor(options: TopicFollowerOptions) {
    this.#options = options;
  }

  /** Gets whether the last read of the topic has succeeded; undefined before the first. */
  get isReachable(): boolean | undefined {
    return this.#isReachable;
  }

  /** Gets how many bytes of answers have arrived, those of unfinished ones included. */
  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Follows the topic until `stop` is called. */
  async run(): Promise<void> {
    let retryMs: number = RETRY_DELAY_MS.first;
    while (!this.#isStopped) {
      if (await this.#readPage()) {
        retryMs = RETRY_DELAY_MS.first;
      } else {
        await wait(retryMs * (0.5 + Math.random()));
        retryMs = Math.min(RETRY_DELAY_MS.max, retryMs * 2);
      }
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Reads and applies one page.
   * @returns Whether the store could be read.
   */
  async #readPage(): Promise<boolean> {
    const { topic, store, apply } = this.#options;
    const from = this.#offset;
    const page = from === undefined
      ? await store.readNewest(topic, { onProgress: this.#onProgress })
      : await store.readFrom(topic, {
        from,
        waitMs: this.#options.readWaitMs ?? MAX_READ_WAIT_MS,
        onProgress: this.#onProgress,
      });
    if (page.isOk()) {
      this.#setReachable(true);
      this.#offset = page.value.end;
      apply(page.value, { isCompacted: from === undefined });
      return true;
    }
    if (page.error.kind === "not_found") {
      this.#options.log.record("records_deleted", { topic, from });
      this.#offset = undefined;
      return true;
    }
    this.#setReachable(false, page.error.message);
    return false;
  }

  #setReachable(isReachable: boolean, reason?: string): void {
    if (this.#isReachable !== isReachable) {
      this.#isReachable = isReachable;
      const { topic, log } = this.#options;
      log.record(isReachable ? "store_reachable" : "store_lost", {
        topic,
        offset: this.#offset,
        reason,
      });
    }
  }
}
