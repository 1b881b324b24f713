import { setTimeout as wait } from "node:timers/promises";
import { err, ok, type Result } from "neverthrow";
import type {
  KeyedPage,
  KeyedStore,
  KeyedTopic,
} from "../../src/coordination/ports/mod.ts";
import { createError, type DispatchError } from "../../src/state/errors/mod.ts";

/** Interval of the checks for new records, in milliseconds. */
const CHECK_INTERVAL_MS = 5;

interface KeyedRecord {
  key: string;
  value: string | undefined;
}

/** An in-memory store of keyed topics. */
export class MemoryKeyedStore implements KeyedStore {
  readonly #topics = new Map<KeyedTopic, KeyedRecord[]>();

  /** Adds a record; without a value, its key is deleted. */
  add(topic: KeyedTopic, key: string, value: string | undefined): void {
    this.#topics.set(topic, [...this.#getRecords(topic), { key, value }]);
  }

  readNewest(topic: KeyedTopic): Promise<Result<KeyedPage, DispatchError>> {
    const records = this.#getRecords(topic);
    const newest = new Map(records.map((record) => [record.key, record]));
    return Promise.resolve(ok({
      records: [...newest.values()].filter(({ value }) => value !== undefined),
      end: records.length,
    }));
  }

  async readFrom(
    topic: KeyedTopic,
    { from, waitMs }: { from: number; waitMs: number },
  ): Promise<Result<KeyedPage, DispatchError>> {
    const endAt = performance.now() + waitMs;
    while (
      this.#getRecords(topic).length <= from && performance.now() < endAt
    ) {
      await wait(CHECK_INTERVAL_MS);
    }
    const records = this.#getRecords(topic).slice(from);
    return ok({ records, end: from + records.length });
  }

  append(): Promise<Result<void, DispatchError>> {
    return Promise.resolve(err(createError("internal", "not supported")));
  }

  #getRecords(topic: KeyedTopic): KeyedRecord[] {
    return this.#topics.get(topic) ?? [];
  }
}
