import type { BatchFrame, JobGrant } from "../../messages/mod.ts";
import type { EventLog, PeerConnector, PeerStream } from "../../ports/mod.ts";

/** Time without a grant after which a stream is closed, in milliseconds. */
const IDLE_TIMEOUT_MS = 10_000;

/** Largest number of streams; agents ask the entry for what isn't sent. */
const MAX_STREAMS = 1_024;

interface OpenStream {
  readonly stream: PeerStream<BatchFrame>;
  /** When the last grant was sent. */
  usedAt: number;
}

export interface GrantNotifierOptions {
  peers: PeerConnector<BatchFrame>;
  log: EventLog;
  getTime?: () => number;
}

/**
 * Tells other agents which claims this one has granted, on streams that it opens when
 * they are first needed. What is lost on the way is asked of the entry.
 */
export class GrantNotifier {
  readonly #options: GrantNotifierOptions;
  readonly #getTime: () => number;
  readonly #streams = new Map<string, OpenStream>();

  constructor(options: GrantNotifierOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** Sends a grant to the agent at an address. */
  send(address: string, value: JobGrant): void {
    const open = this.#streams.get(address) ?? this.#open(address);
    if (open === undefined) {
      this.#options.log.record("grant_not_sent", {
        job: value.jobId,
        address,
        reason: "too many streams are open",
      });
      return;
    }
    open.usedAt = this.#getTime();
    open.stream.send({
      sentAtMs: Math.floor(open.usedAt),
      echoAtMs: 0,
      kind: { case: "jobGranted", value },
    });
  }

  /** Closes the streams that are no longer used. */
  runPeriodicChecks(): void {
    const usedBefore = this.#getTime() - IDLE_TIMEOUT_MS;
    for (const [address, { stream, usedAt }] of this.#streams) {
      if (usedAt < usedBefore) {
        this.#streams.delete(address);
        stream.close();
      }
    }
  }

  /** Closes all streams. */
  stop(): void {
    this.#streams.forEach(({ stream }) => stream.close());
    this.#streams.clear();
  }

  #open(address: string): OpenStream | undefined {
    if (this.#streams.size >= MAX_STREAMS) {
      return undefined;
    }
    const stream = this.#options.peers.open(address);
    const open = { stream, usedAt: this.#getTime() };
    this.#streams.set(address, open);
    void this.#serve(address, stream);
    return open;
  }

  /** Reads until the stream ends; the other agent sends nothing of use. */
  async #serve(
    address: string,
    stream: PeerStream<BatchFrame>,
  ): Promise<void> {
    let reason = "closed";
    try {
      for await (const _ of stream.received);
    } catch (error) {
      reason = (error as Error).message;
    }
    if (this.#streams.get(address)?.stream === stream) {
      this.#streams.delete(address);
      this.#options.log.record("agent_peer_lost", { address, reason });
    }
  }
}
