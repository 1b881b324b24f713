import type { StartRecord } from "./start_record.ts";

/**
 * Time that a record is kept, in milliseconds. Must not be shorter than the
 * idempotency window of claims.
 */
const RETENTION_MS = 600_000;

interface StoredRecord<Result> {
  record: StartRecord<Result>;
  readonly key: string;
  readonly expiresAt: number;
}

export interface StartRecordsOptions {
  retentionMs?: number;
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Records of the task attempts that one agent has started, is about to start,
 * or must never start.
 */
export class StartRecords<Result> {
  readonly #retentionMs: number;
  readonly #getTime: () => number;
  readonly #records = new Map<string, StoredRecord<Result>>();

  constructor(options: StartRecordsOptions = {}) {
    this.#retentionMs = options.retentionMs ?? RETENTION_MS;
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** Gets the number of records. */
  get size(): number {
    return this.#records.size;
  }

  /** Gets the record of an attempt. */
  get(
    key: string,
    index: number,
    attempt: number,
  ): StartRecord<Result> | undefined {
    return this.#records.get(getRecordId(key, index, attempt))?.record;
  }

  /** Sets the record of an attempt. */
  set(
    task: { key: string; index: number; attempt: number },
    record: StartRecord<Result>,
  ): void {
    const id = getRecordId(task.key, task.index, task.attempt);
    const known = this.#records.get(id);
    if (known !== undefined) {
      known.record = record;
    } else {
      const expiresAt = this.#getTime() + this.#retentionMs;
      this.#records.set(id, { record, key: task.key, expiresAt });
    }
  }

  /**
   * Removes the record of an attempt that was refused and may be sent again.
   */
  remove(key: string, index: number, attempt: number): void {
    this.#records.delete(getRecordId(key, index, attempt));
  }

  /**
   * Gets the idempotency keys that have a started task, each with the member id
   * of the coordinator.
   */
  getStartedKeys(): Map<string, string> {
    const keys = new Map<string, string>();
    for (const { key, record } of this.#records.values()) {
      if (record.state === "started") {
        keys.set(key, record.coordinator);
      }
    }
    return keys;
  }

  /** Removes expired records. The map is in order of expiry. */
  removeExpired(): void {
    const now = this.#getTime();
    for (const [id, { expiresAt }] of this.#records) {
      if (expiresAt > now) {
        return;
      }
      this.#records.delete(id);
    }
  }
}

function getRecordId(key: string, index: number, attempt: number): string {
  return `${index}/${attempt}/${key}`;
}
