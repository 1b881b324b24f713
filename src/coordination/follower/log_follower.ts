import type { ClusterView, ViewEvent } from "../../state/view/mod.ts";
import type { LogRecord } from "../../state/view/mod.ts";
import type { LogPage, LogService } from "../ports/mod.ts";
import type { RawLogRecord } from "../messages/mod.ts";
import { findSnapshot } from "./find_snapshot.ts";
import type { KnownSnapshot } from "./known_snapshot.ts";
import { OutageReports } from "./outage_reports.ts";
import { parseLogRecord } from "./parse_log_record.ts";
import { VIEW_LIMITS } from "./view_limits.ts";

/** Records that are kept to relay them to other processes. */
const MAX_RELAYED_RECORDS = 4_000;

/** Records read at one time. */
const READ_LIMIT = 500;

/**
 * A process that starts skips to the newest snapshot when it would have to read
 * more records than this.
 */
const MAX_START_RECORDS = 2_000;

/**
 * Reads that may be open at one time: one for each read interval until a read
 * is given up.
 */
const MAX_OPEN_READS = Math.ceil(
  VIEW_LIMITS.logReadAbortMs / VIEW_LIMITS.readIntervalMs,
);

export interface LogFollowerOptions {
  view: ClusterView;
  log: LogService;
  /** Availability zone of this process. */
  zone: string;
  /**
   * Agents get records by heartbeats, and read the log only when these leave
   * their view old.
   */
  role?: "entry" | "agent";
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Follows the log and knows how old the view may be. A read that was sent at
 * time t and came back with the log's head proves that the view holds every
 * record appended before t; a heartbeat of another process relays such a proof.
 * All times are those of the local monotonic clock, so no clocks are shared.
 */
export class LogFollower {
  readonly view: ClusterView;
  readonly #log: LogService;
  readonly #role: "entry" | "agent";
  readonly #getTime: () => number;
  readonly #outages: OutageReports;
  readonly #listeners = new Set<(event: ViewEvent, offset: number) => void>();
  #recent: RawLogRecord[] = [];
  #proofTime = -Infinity;
  #openReads = 0;
  #readAt = -Infinity;
  #snapshot: KnownSnapshot | undefined;

  constructor(options: LogFollowerOptions) {
    this.view = options.view;
    this.#log = options.log;
    this.#role = options.role ?? "entry";
    this.#getTime = options.getTime ?? (() => performance.now());
    this.#outages = new OutageReports(options.zone);
  }

  /** Gets the reports about log outages that this process holds. */
  get outages(): OutageReports {
    return this.#outages;
  }

  /** Gets the newest snapshot that was seen in the log. */
  get snapshot(): KnownSnapshot | undefined {
    return this.#snapshot;
  }

  /**
   * Gets the current time of the monotonic clock that proofs refer to, in
   * milliseconds.
   */
  getTime(): number {
    return this.#getTime();
  }

  /** Gets the largest possible age of the view, in milliseconds. */
  getViewAgeMs(): number {
    return this.#getTime() - this.#proofTime;
  }

  /**
   * May work start under this view? True for a fresh view, and during an outage
   * that most zones report.
   */
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

  /**
   * Gets the records after an offset, to relay them; undefined when they aren't
   * kept any more.
   */
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

  /**
   * Gets the interval of the log reads, in milliseconds; agents share a number
   * of reads a second.
   */
  getReadIntervalMs(): number {
    if (this.#role !== "agent") {
      return VIEW_LIMITS.readIntervalMs;
    }
    const agents = this.view.getMembers("agent").length;
    return Math.max(
      VIEW_LIMITS.readIntervalMs,
      agents / VIEW_LIMITS.agentReadsPerSecond * 1_000,
    );
  }

  /**
   * Reads the log at an interval until the signal aborts. A slow read doesn't
   * delay the next one.
   */
  async run(signal: AbortSignal): Promise<void> {
    const readAfterMs = this.#role === "agent"
      ? VIEW_LIMITS.agentReadAfterMs
      : 0;
    while (!signal.aborted) {
      if (this.getViewAgeMs() >= readAfterMs && this.#canRead()) {
        void this.readOnce();
      }
      await new Promise((resolve) =>
        setTimeout(resolve, this.getReadIntervalMs())
      );
    }
  }

  /**
   * Overlapping reads of a process that starts would all fetch the same
   * records.
   */
  #canRead(): boolean {
    const isStart = this.#proofTime === -Infinity && this.#openReads > 0;
    const minWaitMs = isStart ? VIEW_LIMITS.logReadTimeoutMs : 0;
    return this.#openReads < MAX_OPEN_READS &&
      this.#getTime() - this.#readAt >= minWaitMs;
  }

  /**
   * Reads the log up to its head. Returns false when the log can't be reached,
   * or has a gap. A read without a reply in time counts as unreachable, but its
   * reply is used all the same when it comes: a slow log still accepts changes.
   */
  async readOnce(): Promise<boolean> {
    this.#openReads++;
    try {
      for (;;) {
        const sentAt = this.#getTime();
        this.#readAt = sentAt;
        const offset = this.view.offset;
        const timer = setTimeout(
          () => this.#outages.addOwnReport(this.#getTime()),
          VIEW_LIMITS.logReadTimeoutMs,
        );
        const page = await this.#log.read(offset + 1, READ_LIMIT);
        clearTimeout(timer);
        const isInTime = this.#getTime() - sentAt <=
          VIEW_LIMITS.logReadTimeoutMs;
        // A head below records that were read before means that the log has
        // lost records.
        if (page.isErr() || page.value.head < offset) {
          if (isInTime) {
            this.#outages.addOwnReport(this.#getTime());
          }
          return false;
        }
        if (isInTime) {
          this.#outages.removeOwnReport();
        }
        if (this.#isSnapshotNeeded(page.value)) {
          await this.#applySnapshot(page.value);
        }
        this.applyRecords(page.value.records);
        if (this.view.offset >= page.value.head) {
          this.advanceFreshness(sentAt);
          return true;
        }
        if (this.view.offset === offset) {
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

  /**
   * Adds a proof that the view holds every record appended before a time of the
   * local clock.
   */
  advanceFreshness(time: number): void {
    this.#proofTime = Math.max(this.#proofTime, time);
  }

  #applyRecord(raw: RawLogRecord): void {
    const record = parseLogRecord(raw.json);
    let { json } = raw;
    if (record === undefined) {
      this.view.skip(raw.offset);
    } else if (record.type === "snapshot") {
      this.#setSnapshot(raw.offset, record);
      // Who gets the record by a heartbeat has every record before it; at
      // target scale a view is some MB.
      json = JSON.stringify({ ...record, view: null });
    }
    const events = record === undefined
      ? []
      : this.view.apply(record, raw.offset);
    this.#recent.push({ offset: raw.offset, json });
    if (this.#recent.length > 2 * MAX_RELAYED_RECORDS) {
      this.#recent = this.#recent.slice(-MAX_RELAYED_RECORDS);
    }
    this.#notify(events, raw.offset);
  }

  #notify(events: readonly ViewEvent[], offset: number): void {
    for (const event of events) {
      for (const listener of this.#listeners) {
        listener(event, offset);
      }
    }
  }

  /**
   * Have the records after the view passed out of retention, or are there too
   * many of them at a start?
   */
  #isSnapshotNeeded(page: LogPage): boolean {
    const isStart = this.view.offset === 0 && page.head > MAX_START_RECORDS;
    return isStart || page.first > this.view.offset + 1;
  }

  /**
   * Goes on from the newest usable snapshot, unless other reads have brought
   * the view further.
   */
  async #applySnapshot(page: LogPage): Promise<void> {
    const found = await findSnapshot(this.#log, page);
    if (found === undefined) {
      return;
    }
    const events = this.view.restoreSnapshot(found.record.view);
    if (events !== undefined) {
      this.#recent = [];
      this.#setSnapshot(found.offset, found.record);
      this.#notify(events, this.view.offset);
    }
  }

  #setSnapshot(
    offset: number,
    record: Extract<LogRecord, { type: "snapshot" }>,
  ): void {
    // The writer's clock may be wrong. The last proof limits the error: a
    // record that is new to the view was appended after it.
    const wallAgeMs = Math.max(0, Date.now() - (record.timeMs ?? 0));
    const ageMs = Math.min(wallAgeMs, this.getViewAgeMs());
    const time = this.#getTime() - ageMs;
    this.#snapshot = { offset, viewOffset: record.at, writtenAtMs: time };
  }
}
