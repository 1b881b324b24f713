/**
 * Accepts streams of frames from other processes. The load: connections that send nothing,
 * or frames that they never complete, as many as the process accepts.
 *
 * Each peer sends a frame as soon as it has opened a stream. A stream without a complete
 * frame is closed after some time, and the oldest one at once when a new stream would be
 * too many. Streams on which a frame has arrived are never closed for others.
 */
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import type { BatchFrame } from "../../coordination/messages/mod.ts";
import type { PeerStream } from "../../coordination/ports/mod.ts";
import { BlockPool } from "../block_pool.ts";
import { createBufferedSocket } from "../create_buffered_socket.ts";
import { MemoryBudget } from "../memory_budget.ts";
import { FrameSocket } from "./frame_socket.ts";
import { INCOMPLETE_FRAME_BYTES } from "./incomplete_frame_bytes.ts";

/** Default of `maxStreams`; a process has one stream to each peer. */
const MAX_STREAMS = 4_096;

/** Size of the buffer into which all streams read, in bytes. */
const READ_BUFFER_BYTES = 65_536;

/** Interval at which streams without a frame are counted, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/**
 * Default of `firstFrameTimeoutMs`. An entry closes a stream itself on which an agent is
 * silent for a shorter time.
 */
const FIRST_FRAME_TIMEOUT_MS = 10_000;

type StreamRefusalCause = "connections" | "frame_time" | "memory";

export interface StreamServerOptions {
  host: string;
  /** Port to listen on; 0 selects a free port. */
  port: number;
  /** Serves a stream until it ends. */
  serveStream: (stream: PeerStream<BatchFrame>) => Promise<void>;
  /** Largest number of open streams. */
  maxStreams?: number;
  /** Memory for incomplete frames of all streams, in bytes. */
  incompleteFrameBytes?: number;
  /** Longest time until the first complete frame of a stream, in milliseconds. */
  firstFrameTimeoutMs?: number;
  /** Called for each stream that a limit closes. */
  onRefusal?: (
    cause: StreamRefusalCause,
    remoteAddress: string,
  ) => void;
}

/** Accepts TCP connections that carry streams of frames. */
export class StreamServer {
  readonly #options: StreamServerOptions;
  readonly #server: Server;
  /** The open streams, the oldest first, with the checks that each has existed for. */
  readonly #streams = new Map<FrameSocket, number>();
  readonly #pool = new BlockPool();
  /** Shared by all streams: what is read into it is handled before the next read. */
  readonly #readBuffer = Buffer.allocUnsafeSlow(READ_BUFFER_BYTES);
  #checkTimer: NodeJS.Timeout | undefined;

  constructor(options: StreamServerOptions) {
    this.#options = options;
    const {
      maxStreams = MAX_STREAMS,
      incompleteFrameBytes = INCOMPLETE_FRAME_BYTES,
    } = options;
    const budget = new MemoryBudget(incompleteFrameBytes);
    this.#server = createServer((accepted) => {
      const stream = this.#createStream(accepted, budget);
      if (this.#streams.size >= maxStreams) {
        const oldest = this.#findStreamWithoutFrame();
        this.#refuse(oldest ?? stream, "connections");
        if (oldest === undefined) {
          return;
        }
      }
      this.#streams.set(stream, 0);
      void options.serveStream(stream).finally(() => {
        this.#streams.delete(stream);
        stream.close();
      });
    });
  }

  /** Starts listening, and returns the port. */
  async start(): Promise<number> {
    const { host, port } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    this.#checkTimer = setInterval(
      () => this.#checkStreams(),
      CHECK_INTERVAL_MS,
    ).unref();
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops listening, and closes the streams. */
  stop(): void {
    clearInterval(this.#checkTimer);
    this.#server.close();
    for (const stream of this.#streams.keys()) {
      stream.close();
    }
  }

  #createStream(accepted: Socket, budget: MemoryBudget): FrameSocket {
    const socket = createBufferedSocket(accepted, {
      buffer: this.#readBuffer,
      onRead: (bytes) => {
        stream.handleBytes(bytes);
        return true;
      },
    });
    const stream = new FrameSocket(socket, {
      budget,
      pool: this.#pool,
      onEvicted: () =>
        this.#options.onRefusal?.("memory", stream.remoteAddress),
    });
    return stream;
  }

  #findStreamWithoutFrame(): FrameSocket | undefined {
    for (const stream of this.#streams.keys()) {
      if (!stream.hasReceivedFrame) {
        return stream;
      }
    }
    return undefined;
  }

  /** Counts checks, so that a pause of this process isn't taken for silence. */
  #checkStreams(): void {
    this.#pool.releaseUnused();
    const { firstFrameTimeoutMs = FIRST_FRAME_TIMEOUT_MS } = this.#options;
    for (const [stream, checks] of this.#streams) {
      if (stream.hasReceivedFrame) {
        continue;
      }
      if (checks * CHECK_INTERVAL_MS >= firstFrameTimeoutMs) {
        this.#refuse(stream, "frame_time");
      } else {
        this.#streams.set(stream, checks + 1);
      }
    }
  }

  #refuse(stream: FrameSocket, cause: StreamRefusalCause): void {
    this.#options.onRefusal?.(cause, stream.remoteAddress);
    this.#streams.delete(stream);
    stream.destroy(new Error(`closed by a limit on streams: ${cause}`));
  }
}
