import type { Socket } from "node:net";
import type { BodyReader } from "./body_reader.ts";
import type { ConnectionActivity } from "./connection_activity.ts";
import { estimateHeaderMemory } from "./estimate_header_memory.ts";
import type { ConnectionState } from "./connection_state.ts";
import type { MemoryHolder } from "../memory_holder.ts";
import type { ReceivedRequest } from "./received_request.ts";
import type { MemoryBudget } from "../memory_budget.ts";

/**
 * A connection of a client, with its requests that are not answered yet. As a memory
 * holder it stands for responses that the client doesn't read.
 */
export class ServerConnection implements ConnectionState, MemoryHolder {
  readonly socket: Socket;
  heldBytes = 0;
  requestCount = 0;
  servedCount = 0;
  /** Requests whose responses have not been handed to the network. */
  pendingCount = 0;
  /** Requests that were not served because the connection is to be closed. */
  droppedCount = 0;
  /** Whether the connection closes after the answers to its requests so far. */
  isClosing = false;
  /** Whether the rest of a refused body is being read. */
  isDiscarding = false;
  /** Bytes that were given to the parser. */
  parsedBytes = 0;
  /** Parts of bodies that the parser has given. */
  chunkCount = 0;
  /** The body that is being read. */
  body: BodyReader | undefined;
  readonly #budget: MemoryBudget;
  readonly #onUnread: (connection: ServerConnection) => void;
  /** Stands for the headers of a request that aren't complete. */
  readonly #incompleteHeaders: MemoryHolder;
  /** Stands for received bytes that wait until they are parsed. */
  readonly #unparsed: MemoryHolder;
  readonly #handledRequests = new Set<ReceivedRequest>();
  #readBytesAtRequest = 0;
  #chunkCountAtRequest = 0;
  #unsentBytes = 0;
  /** Memory of the headers of requests that are not answered yet, in bytes. */
  #headerMemory = 0;
  #isClosed = false;

  constructor(options: {
    socket: Socket;
    budget: MemoryBudget;
    /** Called when the connection is to be closed for its unread responses. */
    onUnread: (connection: ServerConnection) => void;
    /** Called when no further request is served for the memory of what isn't complete. */
    onIncompleteEvicted: () => void;
  }) {
    this.socket = options.socket;
    this.#budget = options.budget;
    this.#onUnread = options.onUnread;
    const evict = () => {
      options.onIncompleteEvicted();
      this.closeAfterAnswers();
    };
    this.#incompleteHeaders = { heldBytes: 0, evict };
    this.#unparsed = { heldBytes: 0, evict };
  }

  getActivity(): ConnectionActivity {
    if (this.body !== undefined) {
      return "body";
    }
    if (this.pendingCount > 0) {
      return this.#handledRequests.size > 0 ? "handling" : "unread";
    }
    return this.parsedBytes > this.#readBytesAtRequest ? "header" : "idle";
  }

  getProgress(): number {
    return this.body?.receivedBytes ??
      (this.pendingCount > 0 ? this.socket.writableLength : this.requestCount);
  }

  /** Gets the number of parts that the body of the open request has had. */
  get bodyChunkCount(): number {
    return this.chunkCount - this.#chunkCountAtRequest;
  }

  /** Gets the number of received bytes that wait until they are parsed. */
  get unparsedBytes(): number {
    return this.#unparsed.heldBytes;
  }

  /** Sets the number of received bytes that wait until they are parsed. */
  setUnparsedBytes(bytes: number): void {
    this.#budget.releaseHolder(this.#unparsed);
    if (bytes > 0 && !this.#isClosed) {
      this.#budget.addEvictable(this.#unparsed, bytes);
    }
  }

  /** Gets the bytes of a request whose headers aren't complete. */
  get incompleteHeaderBytes(): number {
    const isReadingBody = this.body !== undefined || this.isDiscarding;
    return isReadingBody || this.#isClosed || this.isClosing
      ? 0
      : this.parsedBytes - this.#readBytesAtRequest;
  }

  /** Counts the memory of headers that aren't complete, after bytes were parsed. */
  countIncompleteHeaders(): void {
    const bytes = this.incompleteHeaderBytes;
    const holder = this.#incompleteHeaders;
    if (bytes === 0) {
      if (holder.heldBytes > 0) {
        this.#budget.releaseHolder(holder);
      }
      return;
    }
    const memory = estimateHeaderMemory(bytes);
    if (memory > holder.heldBytes) {
      this.#budget.addEvictable(holder, memory - holder.heldBytes);
    }
  }

  /** Adds the memory of the headers of a request that will be answered. */
  addHeaderMemory(bytes: number): void {
    if (!this.#isClosed) {
      this.#headerMemory += bytes;
      this.#budget.addFixed(bytes);
    }
  }

  releaseHeaderMemory(bytes: number): void {
    if (!this.#isClosed) {
      this.#headerMemory -= bytes;
      this.#budget.releaseFixed(bytes);
    }
  }

  /** Notes that all bytes parsed so far belong to known requests. */
  markRequestRead(): void {
    this.#readBytesAtRequest = this.parsedBytes;
    this.#chunkCountAtRequest = this.chunkCount;
  }

  /** Notes that a request is answered, or will not be. */
  endRequest(): void {
    this.pendingCount--;
    if (this.isClosing && this.pendingCount === 0) {
      this.socket.destroySoon();
    }
  }

  /** Serves no further request, and closes after the answers to earlier ones. */
  closeAfterAnswers(): void {
    this.isClosing = true;
    if (this.pendingCount === 0) {
      this.socket.destroySoon();
    }
  }

  /** Notes that the body that was being read is complete or refused. */
  endBody(): void {
    this.body = undefined;
    this.markRequestRead();
  }

  startHandling(request: ReceivedRequest): void {
    this.#handledRequests.add(request);
    this.#budget.addFixed(request.body.length);
  }

  endHandling(request: ReceivedRequest): void {
    if (this.#handledRequests.delete(request)) {
      this.servedCount++;
      this.#budget.releaseFixed(request.body.length);
    }
  }

  /** Adds a response that waits until the client reads. */
  addUnsentBytes(bytes: number): void {
    if (this.#isClosed) {
      return;
    }
    this.#keepUnsent();
    this.#unsentBytes += bytes;
    this.#budget.addFixed(bytes);
  }

  releaseUnsentBytes(bytes: number): void {
    if (this.#isClosed) {
      return;
    }
    this.#keepUnsent();
    this.#unsentBytes -= bytes;
    this.#budget.releaseFixed(bytes);
  }

  /** Lets the budget close this connection for its unread responses. */
  allowEviction(): void {
    if (this.#unsentBytes > 0 && this.heldBytes === 0) {
      this.#budget.releaseFixed(this.#unsentBytes);
      this.#budget.addEvictable(this, this.#unsentBytes);
    }
  }

  evict(): void {
    this.#unsentBytes = 0;
    this.#onUnread(this);
  }

  /** Releases everything after the connection has closed. */
  close(): void {
    if (this.#isClosed) {
      return;
    }
    this.#isClosed = true;
    this.body?.close();
    this.#keepUnsent();
    this.#budget.releaseFixed(this.#unsentBytes + this.#headerMemory);
    this.#unsentBytes = 0;
    this.#headerMemory = 0;
    this.#budget.releaseHolder(this.#incompleteHeaders);
    this.#budget.releaseHolder(this.#unparsed);
    for (const request of this.#handledRequests) {
      this.#budget.releaseFixed(request.body.length);
      request.abort();
    }
    this.#handledRequests.clear();
  }

  /** Takes the unread responses out of what the budget may evict. */
  #keepUnsent(): void {
    if (this.heldBytes > 0) {
      this.#budget.releaseHolder(this);
      this.#budget.addFixed(this.#unsentBytes);
    }
  }
}
