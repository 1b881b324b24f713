import type { OperatorStatePart } from "../../messages/mod.ts";
import type { EventLog } from "../../ports/mod.ts";
import type { OperatorStateSource } from "./operator_state_source.ts";

/**
 * Time for which a process that is behind a peer waits for the store, if it can be
 * read, before it reads the state from the peer, in milliseconds. It begins again with
 * each progress of the store's answer.
 */
const STORE_PRIORITY_MS = 1_000;

/**
 * Bytes of the store's answer that count as progress. The largest record, of 256 KB,
 * thus takes less than 4 s before a peer is asked, however slowly the store sends.
 */
const MIN_STORE_PROGRESS_BYTES = 65_536;

/**
 * Time without a part of the state after which it is read from another peer, in
 * milliseconds.
 */
const PART_TIMEOUT_MS = 700;

export interface OperatorStateReaderOptions {
  log: EventLog;
  /** Gets the offset of the state of this process. */
  getOffset: () => number;
  isStoreReachable: () => boolean;
  /** Gets how many bytes have arrived from the store, also of an unfinished answer. */
  getStoreBytes: () => number;
  /** Called with a complete state of a peer. */
  onRead: (snapshot: { offset: number; state: string }, from: string) => void;
  getTime?: () => number;
}

interface Transfer {
  readonly source: OperatorStateSource;
  readonly startedAt: number;
  offset: number;
  text: string;
  /** When the latest part arrived, or the first one was requested. */
  progressAt: number;
}

/**
 * Reads the operator's state from peers that are ahead while the store can't be read.
 * It reads from one peer at a time, and requests a part after the one before has
 * arrived: however many peers are ahead, what comes over the link of this process is
 * one state, in frames that don't hold up those behind them.
 */
export class OperatorStateReader {
  readonly #options: OperatorStateReaderOptions;
  readonly #getTime: () => number;
  #behind: { offset: number; since: number } | undefined;
  /** When the latest progress of the store was noticed, and the bytes until then. */
  #storeProgress = { at: -Infinity, bytes: 0 };
  #transfer: Transfer | undefined;

  constructor(options: OperatorStateReaderOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** Handles that a peer has told up to which offset it has the state. */
  handleOffset(source: OperatorStateSource, offset: number): void {
    const ownOffset = this.#options.getOffset();
    if (offset <= ownOffset) {
      return;
    }
    const now = this.#getTime();
    if (this.#behind?.offset !== ownOffset) {
      this.#behind = { offset: ownOffset, since: now };
      this.#storeProgress = { at: now, bytes: this.#options.getStoreBytes() };
    }
    const isWaitingForStore = this.#options.isStoreReachable() &&
      now - this.#getStoreProgressTime(now) < STORE_PRIORITY_MS;
    if (!isWaitingForStore && !this.#isReading(now)) {
      this.#start(source, offset);
    }
  }

  /** Handles a part that was requested, and requests the next one. */
  handlePart(source: OperatorStateSource, part: OperatorStatePart): void {
    const transfer = this.#transfer;
    if (transfer === undefined || transfer.source !== source) {
      return;
    }
    const { offset, position, length, text } = part;
    if (offset <= this.#options.getOffset()) {
      this.#transfer = undefined;
      return;
    }
    if (position === 0) {
      transfer.offset = offset;
      transfer.text = "";
    }
    if (offset !== transfer.offset || position !== transfer.text.length) {
      return;
    }
    transfer.text += text;
    transfer.progressAt = this.#getTime();
    if (transfer.text.length < length) {
      source.requestOperatorState({
        offset,
        position: transfer.text.length,
      });
      return;
    }
    this.#transfer = undefined;
    this.#options.onRead({ offset, state: transfer.text }, source.name);
  }

  /** Ends a transfer from a peer whose stream has ended. */
  handleSourceLost(source: OperatorStateSource): void {
    if (this.#transfer?.source === source) {
      this.#recordLost(this.#transfer, "closed");
      this.#transfer = undefined;
    }
  }

  #getStoreProgressTime(now: number): number {
    const bytes = this.#options.getStoreBytes();
    if (bytes - this.#storeProgress.bytes >= MIN_STORE_PROGRESS_BYTES) {
      this.#storeProgress = { at: now, bytes };
    }
    return this.#storeProgress.at;
  }

  #isReading(now: number): boolean {
    const transfer = this.#transfer;
    if (transfer === undefined) {
      return false;
    }
    if (now - transfer.progressAt < PART_TIMEOUT_MS) {
      return true;
    }
    this.#recordLost(transfer, "silent");
    return false;
  }

  #start(source: OperatorStateSource, offset: number): void {
    const { log, getOffset, isStoreReachable } = this.#options;
    const now = this.#getTime();
    log.record("operator_state_requested", {
      from: source.name,
      offset,
      ownOffset: getOffset(),
      isStoreReachable: isStoreReachable(),
      behindMs: Math.round(now - (this.#behind?.since ?? now)),
    });
    this.#transfer = {
      ...{ source, startedAt: now, offset, text: "", progressAt: now },
    };
    source.requestOperatorState({ offset, position: 0 });
  }

  #recordLost(transfer: Transfer, reason: "closed" | "silent"): void {
    this.#options.log.record("operator_state_not_read", {
      from: transfer.source.name,
      offset: transfer.offset,
      reason,
      readLength: transfer.text.length,
      tookMs: Math.round(this.#getTime() - transfer.startedAt),
    });
  }
}
