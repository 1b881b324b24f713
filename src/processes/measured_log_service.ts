import type { LogService } from "../coordination/ports/mod.ts";
import type { Metrics } from "../state/metrics/mod.ts";
import type { LogRecord } from "../state/view/mod.ts";

/** A log service whose appends and reads are counted and timed. */
export class MeasuredLogService implements LogService {
  readonly #log: LogService;
  readonly #metrics: Metrics;

  constructor(log: LogService, metrics: Metrics) {
    this.#log = log;
    this.#metrics = metrics;
  }

  async append(record: LogRecord): ReturnType<LogService["append"]> {
    const startedAt = performance.now();
    const appended = await this.#log.append(record);
    const result = appended.isOk() ? "ok" : appended.error.kind;
    this.#metrics.incrementCounter("log_appends", 1, {
      labels: { type: record.type, result },
    });
    this.#metrics.recordTime("log_append", performance.now() - startedAt);
    return appended;
  }

  async read(from: number, limit: number): ReturnType<LogService["read"]> {
    const startedAt = performance.now();
    const page = await this.#log.read(from, limit);
    const result = page.isOk() ? "ok" : page.error.kind;
    this.#metrics.incrementCounter("log_reads", 1, { labels: { result } });
    this.#metrics.recordTime("log_read", performance.now() - startedAt);
    return page;
  }
}
