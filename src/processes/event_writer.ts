import { write } from "node:fs";
import { setTimeout as wait } from "node:timers/promises";
import { Logger } from "tslog";
import type { EventLog } from "../coordination/ports/mod.ts";
import type { Metrics } from "../state/metrics/mod.ts";

/** Bytes of lines about requests that may wait to be written. */
const MAX_REQUEST_BYTES = 262_144;

/**
 * Bytes of all lines that may wait; the difference is kept for lines about the
 * process itself.
 */
const MAX_BYTES = 327_680;

/** Bytes of lines about requests that are written in one second. */
const REQUEST_BYTES_PER_SECOND = 200_000;

/**
 * Default of `collectMs`: a write costs more than the lines in it, and a process
 * that is killed loses as much of its log.
 */
const COLLECT_MS = 50;

/** Interval of the check whether all is written, in milliseconds. */
const FLUSH_CHECK_MS = 5;

/** Delay before a write that the output did not take, in milliseconds. */
const WRITE_AGAIN_MS = 10;

export interface EventWriterOptions {
  /** Name of the process; a field of each line. */
  name: string;
  metrics: Metrics;
  /** Writes text and calls back when it is written. */
  write?: (text: string, callback: () => void) => void;
  getWallClock?: () => number;
  /** Lines of this time share a write, in milliseconds. */
  flushDelayMs?: number;
}

/**
 * Writes events as JSON lines to the standard output. Writing never blocks: one
 * write is open at a time, the lines after it wait in a bounded buffer, and those
 * beyond are dropped and counted. Lines about requests are dropped first.
 */
export class EventWriter implements EventLog {
  readonly #metrics: Metrics;
  readonly #write: (text: string, callback: () => void) => void;
  readonly #getWallClock: () => number;
  readonly #collectMs: number;
  readonly #logger: Logger<Record<string, unknown>>;
  #lines: string[] = [];
  #bytes = 0;
  #isWriting = false;
  #dropped = 0;
  #second = 0;
  #requestBytes = 0;

  constructor(options: EventWriterOptions) {
    this.#metrics = options.metrics;
    this.#write = options.write ?? writeToStandardOutput;
    this.#getWallClock = options.getWallClock ?? Date.now;
    this.#collectMs = options.flushDelayMs ?? COLLECT_MS;
    this.#logger = new Logger({
      type: "hidden",
      hideLogPositionForProduction: true,
    });
    this.#logger.attachTransport((line) => {
      const { _meta, ...fields } = line;
      this.#add({ process: options.name, ...fields });
    });
  }

  record(event: string, fields: Record<string, unknown> = {}): void {
    this.#logger.info({ event, ...fields });
  }

  /** Waits until the lines recorded so far are written. */
  async flush(): Promise<void> {
    while (this.#isWriting) {
      await wait(FLUSH_CHECK_MS);
    }
  }

  #add(fields: Record<string, unknown>): void {
    const now = this.#getWallClock();
    const line = JSON.stringify({ time: now, ...fields }) + "\n";
    const isRequest = fields["job"] !== undefined;
    if (!this.#hasRoom(line.length, isRequest, now)) {
      this.#dropped++;
      this.#metrics.incrementCounter("log_lines_dropped");
      return;
    }
    if (this.#dropped > 0) {
      const dropped = {
        time: now,
        event: "lines_dropped",
        count: this.#dropped,
      };
      this.#dropped = 0;
      this.#push(JSON.stringify(dropped) + "\n");
    }
    this.#push(line);
    this.#writeNext();
  }

  #hasRoom(length: number, isRequest: boolean, now: number): boolean {
    if (!isRequest) {
      return this.#bytes + length <= MAX_BYTES;
    }
    const second = Math.floor(now / 1_000);
    if (second !== this.#second) {
      this.#second = second;
      this.#requestBytes = 0;
    }
    this.#requestBytes += length;
    return this.#requestBytes <= REQUEST_BYTES_PER_SECOND &&
      this.#bytes + length <= MAX_REQUEST_BYTES;
  }

  #push(line: string): void {
    this.#lines.push(line);
    this.#bytes += line.length;
  }

  #writeNext(): void {
    if (this.#isWriting || this.#lines.length === 0) {
      return;
    }
    this.#isWriting = true;
    setTimeout(() => {
      const text = this.#lines.join("");
      this.#lines = [];
      this.#bytes = 0;
      this.#write(text, () => {
        this.#isWriting = false;
        this.#writeNext();
      });
    }, this.#collectMs);
  }
}

/** Writes all of a text on a thread of the pool, which a full pipe may hold up. */
function writeToStandardOutput(text: string, callback: () => void): void {
  writeBytes(Buffer.from(text), callback);
}

function writeBytes(bytes: Buffer, callback: () => void): void {
  write(process.stdout.fd, bytes, (error, written) => {
    const rest = bytes.subarray(written ?? 0);
    if (error === null && rest.length > 0) {
      writeBytes(rest, callback);
    } else if (error?.code === "EAGAIN") {
      setTimeout(() => writeBytes(rest, callback), WRITE_AGAIN_MS);
    } else {
      // Without a reader of the output there is nobody to report to.
      callback();
    }
  });
}
