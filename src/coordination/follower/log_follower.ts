import type { ClusterView, ViewEvent } from "../../state/view/mod.ts";
import type { LogRecord } from "../../state/view/mod.ts";
import type { LogPage, LogService } from "../ports/mod.ts";
import type { RawLogRecord } from "../messages/mod.ts";
import { findSnapshot } from "./find_snapshot.ts";
import type { KnownSnapshot } from "./known_snapshot.ts";
import { OutageReports } from "./outage_reports.ts";
import { parseLogRecord } from "./parse_log_record.ts";
import { VIEW_LIMITS } from "./view_limits.ts";

/**
 * Minimum number of recent records that are kept for relaying to other
 * processes.
 */
const MIN_KEPT_RECORDS = 4_000;

/** Maximum number of records in one read. */
const MAX_READ_RECORDS = 500;

/**
 * Largest log head up to which a starting process reads all records. If the log
 * is longer, it starts from the newest snapshot.
 */
const MAX_INITIAL_RECORDS = 2_000;

/**
 * Maximum number of concurrent reads: one for each read interval until a read
 * is aborted.
 */
const MAX_CONCURRENT_READS = Math.ceil(
  VIEW_LIMITS.logReadAbortMs / VIEW_LIMITS.readIntervalMs,
);

export interface LogFollowerOptions {
  view: ClusterView;
  /** The platform's log service. */
  log: LogService;
  /** Availability zone of this process. */
  zone: string;
  /**
   * Role of this process; "entry" by default. Agents receive records in
   * heartbeats, and read the log only when heartbeats don't keep their view
   * recent enough.
   */
  role?: "entry" | "agent";
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Follows the log and tracks the maximum age of the view. A read that was sent
 * at time t and reached the log's head proves that the view contains every
 * record appended before t. Heartbeats of other processes relay such proofs.
 * All times are read from the local monotonic clock, so processes need no
 * synchronised clocks.
 */
export class LogFollower {
  readonly view: ClusterView;
  readonly #log: LogService;
  readonly #role: "entry" | "agent";
  readonly #getTime: () => number;
  readonly #outageReports: OutageReports;
  readonly #listeners = new Set<(event: ViewEvent, offset: number) => void>();
  #recentRecords: RawLogRecord[] = [];
  #freshAsOf = -Infinity;
  #pendingReads = 0;
  #lastReadAt = -Infinity;
  #snapshot: KnownSnapshot | undefined;

  constructor(options: LogFollowerOptions) {
    this.view = options.view;
    this.#log = options.log;
    this.#role = options.role ?? "entry";
    this.#getTime = options.getTime ?? (() => performance.now());
    this.#outageReports = new OutageReports(options.zone);
  }

  /** Gets the log outage reports that this process holds. */
  get outageReports(): OutageReports {
    return this.#outageReports;
  }

  /** Gets the newest snapshot that this process has seen in the log. */
  get snapshot(): KnownSnapshot | undefined {
    return this.#snapshot;
  }

  /**
   * Gets the current time of the monotonic clock on which the freshness of the
   * view is measured, in milliseconds.
   */
  getTime(): number {
    return this.#getTime();
  }

  /**
   * Gets the maximum age of the view, in milliseconds: the view contains every
   * record that was appended more than this time ago. Returns Infinity while
   * the age is unknown.
   */
  getViewAgeMs(): number {
    return this.#getTime() - this.#freshAsOf;
  }

  /**
   * Checks whether work may start under this view: while the view is recent
   * enough, or during a log outage that most zones report.
   */
  canStartWork(): boolean {
    if (this.getViewAgeMs() < VIEW_LIMITS.maxViewAgeMs) {
      return true;
    }
    return this.#freshAsOf > -Infinity &&
      this.#outageReports.isOutage(this.view, this.#getTime());
  }

  /** Adds a listener that is called for each event of the view. */
  addListener(listener: (event: ViewEvent, offset: number) => void): void {
    this.#listeners.add(listener);
  }

  /**
   * Gets the records after an offset, for relaying. Returns undefined if they
   * are no longer kept.
   */
  getRecordsAfter(offset: number, limit: number): RawLogRecord[] | undefined {
    if (offset >= this.view.offset) {
      return [];
    }
    const first = this.#recentRecords[0]?.offset;
    if (first === undefined || offset + 1 < first) {
      return undefined;
    }
    return this.#recentRecords.slice(
      offset + 1 - first,
      offset + 1 - first + limit,
    );
  }

  /**
   * Gets the interval between log reads, in milliseconds. It grows with the
   * number of agents, since all agents share one limit of reads per second.
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
   * Reads the log periodically until the signal aborts. A slow read doesn't
   * delay the next one.
   */
  async run(signal: AbortSignal): Promise<void> {
    const readAfterMs = this.#role === "agent"
      ? VIEW_LIMITS.agentReadAfterMs
      : 0;
    while (!signal.aborted) {
      if (this.getViewAgeMs() >= readAfterMs && this.#canRead()) {
        void this.readToHead();
      }
      await new Promise((resolve) =>
        setTimeout(resolve, this.getReadIntervalMs())
      );
    }
  }

  /**
   * Checks whether another read may start. While a process starts, it waits for
   * the previous read until that times out, since overlapping reads would all
   * fetch the same records.
   */
  #canRead(): boolean {
    const isStarting = this.#freshAsOf === -Infinity && this.#pendingReads > 0;
    const minWaitMs = isStarting ? VIEW_LIMITS.logReadTimeoutMs : 0;
    return this.#pendingReads < MAX_CONCURRENT_READS &&
      this.#getTime() - this.#lastReadAt >= minWaitMs;
  }

  /**
   * Reads the log up to its head. Returns false if the log can't be reached,
   * has lost records, or has a gap after the view. A read that exceeds the
   * timeout counts as an outage, but its late reply is still applied, because a
   * slow log still accepts changes.
   */
  async readToHead(): Promise<boolean> {
    this.#pendingReads++;
    try {
      for (;;) {
        const sentAt = this.#getTime();
        this.#lastReadAt = sentAt;
        const offset = this.view.offset;
        const timer = setTimeout(
          () => this.#outageReports.addOwnReport(this.#getTime()),
          VIEW_LIMITS.logReadTimeoutMs,
        );
        const page = await this.#log.read(offset + 1, MAX_READ_RECORDS);
        clearTimeout(timer);
        const isOnTime = this.#getTime() - sentAt <=
          VIEW_LIMITS.logReadTimeoutMs;
        // A head below the view's offset means that the log has lost records.
        if (page.isErr() || page.value.head < offset) {
          if (isOnTime) {
            this.#outageReports.addOwnReport(this.#getTime());
          }
          return false;
        }
        if (isOnTime) {
          this.#outageReports.removeOwnReport();
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
      this.#pendingReads--;
    }
  }

  /**
   * Applies the records that directly follow the view's offset, and ignores all
   * others.
   */
  applyRecords(records: readonly RawLogRecord[]): void {
    for (const record of records) {
      if (record.offset === this.view.offset + 1) {
        this.#applyRecord(record);
      }
    }
  }

  /**
   * Records that the view is proven to contain every record appended before a
   * time of the local monotonic clock, in milliseconds.
   */
  advanceFreshness(freshAsOf: number): void {
    this.#freshAsOf = Math.max(this.#freshAsOf, freshAsOf);
  }

  #applyRecord(raw: RawLogRecord): void {
    const record = parseLogRecord(raw.json);
    let { json } = raw;
    if (record?.type === "snapshot") {
      this.#recordSnapshot(raw.offset, record);
      // A peer that receives this record in a heartbeat has all earlier records
      // and needs no view, which takes some MB at the target scale.
      json = JSON.stringify({ ...record, view: null });
    }
    const events = record === undefined
      ? this.view.skip(raw.offset)
      : this.view.apply(record, raw.offset);
    this.#recentRecords.push({ offset: raw.offset, json });
    if (this.#recentRecords.length > 2 * MIN_KEPT_RECORDS) {
      this.#recentRecords = this.#recentRecords.slice(-MIN_KEPT_RECORDS);
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
   * Checks whether the view must be restored from a snapshot: the log no longer
   * retains the next records, or a starting process would have to read too
   * many.
   */
  #isSnapshotNeeded(page: LogPage): boolean {
    const isStarting = this.view.offset === 0 &&
      page.head > MAX_INITIAL_RECORDS;
    return isStarting || page.first > this.view.offset + 1;
  }

  /**
   * Restores the view from the newest usable snapshot, unless other reads have
   * already advanced the view beyond it.
   */
  async #applySnapshot(page: LogPage): Promise<void> {
    const found = await findSnapshot(this.#log, page);
    if (found === undefined) {
      return;
    }
    const events = this.view.restoreSnapshot(found.record.view);
    if (events !== undefined) {
      this.#recentRecords = [];
      this.#recordSnapshot(found.offset, found.record);
      this.#notify(events, this.view.offset);
    }
  }

  #recordSnapshot(
    offset: number,
    record: Extract<LogRecord, { type: "snapshot" }>,
  ): void {
    // The writer's wall clock may be wrong. The view's age limits the error: a
    // record that is new to the view was appended after the time for which the
    // view is proven complete.
    const wallAgeMs = Math.max(0, Date.now() - (record.timeMs ?? 0));
    const ageMs = Math.min(wallAgeMs, this.getViewAgeMs());
    const writtenAtMs = this.#getTime() - ageMs;
    this.#snapshot = { offset, viewOffset: record.at, writtenAtMs };
  }
}
