import type { Result } from "neverthrow";
import type { DispatchError } from "../../state/errors/mod.ts";
import type { KeyedPage } from "./keyed_page.ts";
import type { KeyedTopic } from "./keyed_topic.ts";

/** The platform's store, as far as the records of topics by key go. */
export interface KeyedStore {
  /** Reads the newest record of each key. */
  readNewest(topic: KeyedTopic): Promise<Result<KeyedPage, DispatchError>>;
  /**
   * Reads the records from an offset on, and waits for one if there is none.
   * An error of kind `not_found` means that records in between are gone.
   */
  readFrom(
    topic: KeyedTopic,
    options: { from: number; waitMs: number },
  ): Promise<Result<KeyedPage, DispatchError>>;
  /** Appends a record; after an error it may have been appended. */
  append(
    topic: KeyedTopic,
    record: { key: string; value: string },
  ): Promise<Result<void, DispatchError>>;
}
