import { write } from "node:fs";
import { setTimeout as wait } from "node:timers/promises";
import type { EventLog } from "../coordination/ports/mod.ts";
import type { Metrics } from "../state/metrics/mod.ts";

/** Largest size of the buffered lines about requests, in bytes. */
const MAX_BUFFERED_REQUEST_BYTES = 262_144;

/**
 * Largest size of all buffered lines, in bytes. The difference to
 * `MAX_BUFFERED_REQUEST_BYTES` is reserved for lines about the process itself.
 */
const MAX_BUFFERED_BYTES = 327_680;

/** Largest size of the lines about requests in one second, in bytes. */
const MAX_REQUEST_BYTES_PER_SECOND = 200_000;

/**
 * Default of `flushDelayMs`. Lines share a write, because the call costs more
 * than the lines in it; a process that is killed loses the lines of this time.
 */
const DEFAULT_FLUSH_DELAY_MS = 50;

/** Interval at which `flush` checks for unwritten lines, in milliseconds. */
const FLUSH_CHECK_INTERVAL_MS = 5;

/** Delay before a write that failed with EAGAIN is retried, in milliseconds. */
const WRITE_RETRY_DELAY_MS = 10;

export interface EventWriterOptions {
  /** Name of the process, written as a field of each line. */
  name: string;
  metrics: Metrics;
  /** Writes the text, and calls `callback` when it has been written. */
  write?: (text: string, callback: () => void) => void;
  getWallClock?: () => number;
  /**
   * Time for which lines are collected before they are written together, in
   * milliseconds.
   */
  flushDelayMs?: number;
}

/**
 * Writes events as JSON lines to the standard output, without blocking. One
 * write is in progress at a time; later lines wait in a bounded buffer. Lines
 * that exceed the buffer are dropped and counted, those about requests first.
 */
export class EventWriter implements EventLog {
  readonly #metrics: Metrics;
  readonly #write: (text: string, callback: () => void) => void;
  readonly #getWallClock: () => number;
  readonly #flushDelayMs: number;
  readonly #name: string;
  #bufferedLines: string[] = [];
  #bufferedBytes = 0;
  #isWriting = false;
  #droppedCount = 0;
  #currentSecond = 0;
  #requestBytesThisSecond = 0;

  constructor(options: EventWriterOptions) {
    this.#metrics = options.metrics;
    this.#write = options.write ?? writeToStandardOutput;
    this.#getWallClock = options.getWallClock ?? Date.now;
    this.#flushDelayMs = options.flushDelayMs ?? DEFAULT_FLUSH_DELAY_MS;
    this.#name = options.name;
  }

  record(event: string, fields: Record<string, unknown> = {}): void {
    const time = this.#getWallClock();
    this.#addLine(
      JSON.stringify({ time, process: this.#name, event, ...fields }) + "\n",
      { time, isRequestLine: fields["job"] !== undefined },
    );
  }

  /** Waits until the buffered lines have been written. */
  async flush(): Promise<void> {
    while (this.#isWriting) {
      await wait(FLUSH_CHECK_INTERVAL_MS);
    }
  }

  #addLine(
    line: string,
    { time, isRequestLine }: { time: number; isRequestLine: boolean },
  ): void {
    if (!this.#hasCapacity(line.length, isRequestLine, time)) {
      this.#droppedCount++;
      this.#metrics.incrementCounter("log_lines_dropped");
      return;
    }
    if (this.#droppedCount > 0) {
      const droppedEvent = {
        time,
        process: this.#name,
        event: "lines_dropped",
        count: this.#droppedCount,
      };
      this.#droppedCount = 0;
      this.#bufferLine(JSON.stringify(droppedEvent) + "\n");
    }
    this.#bufferLine(line);
    this.#writeNext();
  }

  #hasCapacity(length: number, isRequestLine: boolean, now: number): boolean {
    if (!isRequestLine) {
      return this.#bufferedBytes + length <= MAX_BUFFERED_BYTES;
    }
    const second = Math.floor(now / 1_000);
    if (second !== this.#currentSecond) {
      this.#currentSecond = second;
      this.#requestBytesThisSecond = 0;
    }
    this.#requestBytesThisSecond += length;
    return this.#requestBytesThisSecond <= MAX_REQUEST_BYTES_PER_SECOND &&
      this.#bufferedBytes + length <= MAX_BUFFERED_REQUEST_BYTES;
  }

  #bufferLine(line: string): void {
    this.#bufferedLines.push(line);
    this.#bufferedBytes += line.length;
  }

  #writeNext(): void {
    if (this.#isWriting || this.#bufferedLines.length === 0) {
      return;
    }
    this.#isWriting = true;
    setTimeout(() => {
      const text = this.#bufferedLines.join("");
      this.#bufferedLines = [];
      this.#bufferedBytes = 0;
      this.#write(text, () => {
        this.#isWriting = false;
        this.#writeNext();
      });
    }, this.#flushDelayMs);
  }
}

/**
 * Writes the whole text on a thread of the libuv pool, so that a full pipe
 * blocks that thread and not the event loop.
 */
function writeToStandardOutput(text: string, callback: () => void): void {
  writeBytes(Buffer.from(text), callback);
}

function writeBytes(bytes: Buffer, callback: () => void): void {
  write(process.stdout.fd, bytes, (error, written) => {
    const rest = bytes.subarray(written ?? 0);
    if (error === null && rest.length > 0) {
      writeBytes(rest, callback);
    } else if (error?.code === "EAGAIN") {
      setTimeout(() => writeBytes(rest, callback), WRITE_RETRY_DELAY_MS);
    } else {
      // Other errors are ignored: nobody reads the output to which they would
      // be reported.
      callback();
    }
  });
}
