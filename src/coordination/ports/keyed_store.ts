import type { Result } from "neverthrow";
import type { DispatchError } from "../../state/errors/mod.ts";
import type { KeyedPage } from "./keyed_page.ts";
import type { KeyedTopic } from "./keyed_topic.ts";

/** Access to the keyed topics of the platform's store. */
export interface KeyedStore {
  /**
   * Reads the newest record of each key.
   * @param options.onProgress - Called with the number of bytes of each part of an
   * answer.
   */
  readNewest(
    topic: KeyedTopic,
    options?: { onProgress?: (byteCount: number) => void },
  ): Promise<Result<KeyedPage, DispatchError>>;
  /**
   * Reads the records from an offset on. If there is none, waits for one for up
   * to `waitMs` milliseconds. An error of kind `not_found` means that some of
   * these records were deleted.
   */
  readFrom(
    topic: KeyedTopic,
    options: {
      from: number;
      waitMs: number;
      onProgress?: (byteCount: number) => void;
    },
  ): Promise<Result<KeyedPage, DispatchError>>;
  /** Appends a record. After an error, it may have been appended or not. */
  append(
    topic: KeyedTopic,
    record: { key: string; value: string },
  ): Promise<Result<void, DispatchError>>;
}
