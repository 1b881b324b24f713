import type {
  ClaimReply,
  CompleteRequest,
  PeerMessage,
  StoredAnswer,
} from "../messages/mod.ts";

/** Timeout of the agent's confirmation of a stored answer, in milliseconds. */
const COMPLETE_TIMEOUT_MS = 1_000;

export interface ClaimChannelOptions {
  isUp: () => boolean;
  send: (message: PeerMessage) => void;
  /** Gets the offset of the entry's cluster view and its Lamport clock. */
  getViewAndClock: () => { viewOffset: number; clock: number };
}

/**
 * The claim requests that an entry has pending at one agent. They fail when the
 * stream to the agent breaks.
 */
export class ClaimChannel {
  readonly #options: ClaimChannelOptions;
  readonly #pendingClaims = new Map<
    number,
    (reply: ClaimReply | undefined) => void
  >();
  readonly #pendingCompletes = new Map<number, (isStored: boolean) => void>();
  #nextId = 1;

  constructor(options: ClaimChannelOptions) {
    this.#options = options;
  }

  /**
   * Claims a submission's idempotency key at the agent.
   * @param key - Idempotency key with its scope.
   * @param fingerprint - Digest of the request.
   * @param options - `receive` is called with each reply, or with undefined
   * when the stream has broken.
   */
  claim(
    key: string,
    fingerprint: string,
    options: { receive: (reply: ClaimReply | undefined) => void },
  ): void {
    const { isUp, send, getViewAndClock } = this.#options;
    const claimId = this.#nextId++;
    if (!isUp()) {
      options.receive(undefined);
      return;
    }
    this.#pendingClaims.set(claimId, options.receive);
    const value = { claimId, key, fingerprint, ...getViewAndClock() };
    send({ case: "claim", value });
  }

  /**
   * Stores the final answer of a submission, or releases its claim when there
   * is no answer. Returns false when the agent has not confirmed it.
   */
  async complete(
    key: string,
    fingerprint: string,
    answer?: StoredAnswer,
  ): Promise<boolean> {
    const { isUp, send } = this.#options;
    const claimId = this.#nextId++;
    const value: CompleteRequest = { claimId, key, fingerprint, answer };
    if (!isUp()) {
      return false;
    }
    return await new Promise<boolean>((resolve) => {
      const timer = setTimeout(
        () => this.handleCompleteReply(claimId, false),
        COMPLETE_TIMEOUT_MS,
      );
      this.#pendingCompletes.set(claimId, (isStored) => {
        clearTimeout(timer);
        resolve(isStored);
      });
      send({ case: "complete", value });
    });
  }

  /** Handles a reply to a claim. */
  handleClaimReply(reply: ClaimReply): void {
    const receive = this.#pendingClaims.get(reply.claimId);
    if (reply.outcome !== "running") {
      this.#pendingClaims.delete(reply.claimId);
    }
    receive?.(reply);
  }

  /** Handles the reply to a stored answer or a release. */
  handleCompleteReply(claimId: number, isStored: boolean): void {
    this.#pendingCompletes.get(claimId)?.(isStored);
    this.#pendingCompletes.delete(claimId);
  }

  /** Fails everything that is pending after the stream has broken. */
  close(): void {
    for (const receive of this.#pendingClaims.values()) {
      receive(undefined);
    }
    this.#pendingClaims.clear();
    for (const claimId of [...this.#pendingCompletes.keys()]) {
      this.handleCompleteReply(claimId, false);
    }
  }
}
