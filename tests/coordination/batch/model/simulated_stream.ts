/**
 * One end of a stream between simulated processes. Frames arrive in order, like
 * those of a TCP connection; what is sent while the path is cut arrives after
 * its repair.
 */
import type { BatchFrame } from "../../../../src/coordination/messages/mod.ts";
import type { PeerStream } from "../../../../src/coordination/ports/mod.ts";
import {
  formatBatchFrame,
  parseBatchFrame,
} from "../../../../src/protocol/batch/mod.ts";
import { MessageQueue } from "../../../../src/transport/message_queue.ts";
import type { SimulatedPath } from "./simulated_path.ts";
import type { SimulatedProcess } from "./simulated_process.ts";
import type { SimulatedTime } from "./simulated_time.ts";

/** Time after `close` until the end no longer receives, in milliseconds. */
const CLOSE_TIMEOUT_MS = 500;

export interface SimulatedStreamOptions {
  time: SimulatedTime;
  /** The path from this end to the other one. */
  path: SimulatedPath;
}

export class SimulatedStream implements PeerStream<BatchFrame> {
  readonly received = new MessageQueue<BatchFrame>();
  /** The process at this end; undefined before the connection is there. */
  process: SimulatedProcess | undefined;
  other: SimulatedStream | undefined;
  readonly #options: SimulatedStreamOptions;
  #isClosed = false;

  constructor(options: SimulatedStreamOptions) {
    this.#options = options;
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  send(frame: BatchFrame): void {
    if (!this.#isClosed) {
      const text = formatBatchFrame(frame);
      this.sendToOther((other) => other.#receive(text));
    }
  }

  close(): void {
    if (!this.#isClosed) {
      this.sendEnd();
      this.#options.time.schedule(
        CLOSE_TIMEOUT_MS,
        () => this.received.close(),
        { kind: "timer", getProcess: () => this.process },
      );
    }
  }

  #receive(text: string): void {
    const frame = parseBatchFrame(text);
    if (frame !== undefined) {
      this.received.add(frame);
    }
  }

  /** Sends the end of the stream, as the system does for a process that ends. */
  sendEnd(): void {
    if (!this.#isClosed) {
      this.#isClosed = true;
      this.sendToOther((other) => {
        other.received.close();
        other.sendEnd();
      });
    }
  }

  /** Breaks this end after a delay. */
  fail(reason: string, delayMs = 0): void {
    this.#options.time.schedule(delayMs, () => {
      this.#isClosed = true;
      this.received.close(new Error(reason));
    }, { getProcess: () => this.process });
  }

  /** Has the process of the other end handle something, after earlier sends. */
  sendToOther(handle: (other: SimulatedStream) => void): void {
    const { other } = this;
    if (other !== undefined) {
      this.#options.path.send(this, () => handle(other), () => other.process);
    }
  }
}
