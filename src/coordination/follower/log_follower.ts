import type { ClusterView, ViewEvent } from "../../state/view/mod.ts";
import { LogRecord } from "../../state/view/mod.ts";
import type { LogService } from "../links/mod.ts";
import type { RawLogRecord } from "../messages/mod.ts";
import { OutageReports } from "./outage_reports.ts";
import { VIEW_LIMITS } from "./view_limits.ts";

/** Records that are kept to relay them to other processes. */
const MAX_RELAYED_RECORDS = 4_000;

/** Records read at one time. */
const READ_LIMIT = 500;

/** Reads that may be open at one time: one for each read interval until a read is given up. */
const MAX_OPEN_READS = Math.ceil(
  VIEW_LIMITS.logReadGiveUpMs / VIEW_LIMITS.readIntervalMs,
);

export interface LogFollowerOptions {
  view: ClusterView;
  log: LogService;
  /** Availability zone of this process. */
  zone: string;
  /** The log is read when the view's age is at least this. */
  readAfterMs?: number;
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Follows the log and knows how old the view may be. A read that was sent at time t and came back with the
 * log's head proves that the view holds every record appended before t; a heartbeat of another process
 * relays such a proof. All times are those of the local monotonic clock, so no clocks are shared.
 */
export class LogFollower {
  readonly view: ClusterView;
  readonly #log: LogService;
  readonly #readAfterMs: number;
  readonly #getTime: () => number;
  readonly #outages: OutageReports;
  readonly #listeners = new Set<(event: ViewEvent, offset: number) => void>();
  #recent: RawLogRecord[] = [];
  #proofTime = -Infinity;
  #openReads = 0;

  constructor(options: LogFollowerOptions) {
    this.view = options.view;
    this.#log = options.log;
    this.#readAfterMs = options.readAfterMs ?? 0;
    this.#getTime = options.getTime ?? (() => performance.now());
    this.#outages = new OutageReports(options.zone);
  }

  /** Gets the reports about log outages that this process holds. */
  get outages(): OutageReports {
    return this.#outages;
  }

  /** Gets the current time of the monotonic clock that proofs refer to, in milliseconds. */
  getTime(): number {
    return this.#getTime();
  }

  /** Gets the largest possible age of the view, in milliseconds. */
  getViewAgeMs(): number {
    return this.#getTime() - this.#proofTime;
  }

  /** May work start under this view? True for a fresh view, and during an outage that most zones report. */
  canStartWork(): boolean {
    if (this.getViewAgeMs() < VIEW_LIMITS.maxViewAgeMs) {
      return true;
    }
    return this.#proofTime > -Infinity &&
      this.#outages.isOutage(this.view, this.#getTime());
  }

  /** Adds a function that is called for each change of the view. */
  addListener(listener: (event: ViewEvent, offset: number) => void): void {
    this.#listeners.add(listener);
  }

  /** Gets the records after an offset, to relay them; undefined when they aren't kept any more. */
  getRecordsAfter(offset: number, limit: number): RawLogRecord[] | undefined {
    if (offset >= this.view.offset) {
      return [];
    }
    const first = this.#recent[0]?.offset;
    if (first === undefined || offset + 1 < first) {
      return undefined;
    }
    return this.#recent.slice(offset + 1 - first, offset + 1 - first + limit);
  }

  /** Reads the log at a fixed interval until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (
        this.getViewAgeMs() >= this.#readAfterMs &&
        this.#openReads < MAX_OPEN_READS
      ) {
        void this.readOnce();
      }
      await new Promise((resolve) =>
        setTimeout(resolve, VIEW_LIMITS.readIntervalMs)
      );
    }
  }

  /**
   * Reads the log up to its head. Returns false when the log can't be reached. A read without a reply in
   * time counts as unreachable, but its reply is used all the same when it comes: a slow log still accepts
   * changes.
   */
  async readOnce(): Promise<boolean> {
    this.#openReads++;
    try {
      for (;;) {
        const sentAt = this.#getTime();
        const timer = setTimeout(
          () => this.#outages.addOwnReport(this.#getTime()),
          VIEW_LIMITS.logReadTimeoutMs,
        );
        const page = await this.#log.read(this.view.offset + 1, READ_LIMIT);
        clearTimeout(timer);
        const isInTime = this.#getTime() - sentAt <=
          VIEW_LIMITS.logReadTimeoutMs;
        if (page.isErr()) {
          if (isInTime) {
            this.#outages.addOwnReport(this.#getTime());
          }
          return false;
        }
        if (isInTime) {
          this.#outages.removeOwnReport();
        }
        if (page.value.first > this.view.offset + 1) {
          this.#applySnapshot(page.value.records);
        }
        this.applyRecords(page.value.records);
        if (this.view.offset >= page.value.head) {
          this.addProof(sentAt);
          return true;
        }
        if (page.value.records.length === 0) {
          return false;
        }
      }
    } finally {
      this.#openReads--;
    }
  }

  /** Applies the records that follow the view; others are ignored. */
  applyRecords(records: readonly RawLogRecord[]): void {
    for (const record of records) {
      if (record.offset === this.view.offset + 1) {
        this.#applyRecord(record);
      }
    }
  }

  /** Adds a proof that the view holds every record appended before a time of the local clock. */
  addProof(time: number): void {
    this.#proofTime = Math.max(this.#proofTime, time);
  }

  #applyRecord(raw: RawLogRecord): void {
    const record = parseRecord(raw.json);
    if (record === undefined) {
      this.view.skip(raw.offset);
    }
    const events = record === undefined
      ? []
      : this.view.apply(record, raw.offset);
    this.#recent.push({ offset: raw.offset, json: raw.json });
    if (this.#recent.length > 2 * MAX_RELAYED_RECORDS) {
      this.#recent = this.#recent.slice(-MAX_RELAYED_RECORDS);
    }
    for (const event of events) {
      for (const listener of this.#listeners) {
        listener(event, raw.offset);
      }
    }
  }

  /** Starts from the newest usable snapshot when the records in between aren't retained any more. */
  #applySnapshot(records: readonly RawLogRecord[]): void {
    for (const raw of [...records].reverse()) {
      const record = parseRecord(raw.json);
      const isUsable = record?.type === "snapshot" &&
        record.at + 1 >= (records[0]?.offset ?? 0);
      if (isUsable && this.view.setSnapshot(record.view)) {
        this.#recent = [];
        return;
      }
    }
  }
}

function parseRecord(json: string): LogRecord | undefined {
  try {
    const parsed = LogRecord.safeParse(JSON.parse(json));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
