import type {
  ClaimReply,
  CompleteRequest,
  PeerMessage,
  StoredAnswer,
} from "../messages/mod.ts";

/** Wait for the home's confirmation of a stored answer, in milliseconds. */
const COMPLETE_TIMEOUT_MS = 1_000;

export interface ClaimChannelOptions {
  isUp: () => boolean;
  send: (message: PeerMessage) => void;
  /** Gets the offset of the entry's view and its Lamport clock. */
  getViewAndClock: () => { viewOffset: number; clock: number };
}

/** The claims that an entry has open at one agent. They end with the stream. */
export class ClaimChannel {
  readonly #options: ClaimChannelOptions;
  readonly #claims = new Map<number, (reply: ClaimReply | undefined) => void>();
  readonly #completes = new Map<number, (stored: boolean) => void>();
  #nextId = 1;

  constructor(options: ClaimChannelOptions) {
    this.#options = options;
  }

  /**
   * Claims a submission at the agent.
   * @param key - Idempotency key with its scope.
   * @param fingerprint - Digest of the request.
   * @param options - Receives each reply; undefined when the stream broke.
   */
  claim(
    key: string,
    fingerprint: string,
    options: { receive: (reply: ClaimReply | undefined) => void },
  ): void {
    const { isUp, send, getViewAndClock: getStamp } = this.#options;
    const claimId = this.#nextId++;
    if (!isUp()) {
      options.receive(undefined);
      return;
    }
    this.#claims.set(claimId, options.receive);
    const value = { claimId, key, fingerprint, ...getStamp() };
    send({ case: "claim", value });
  }

  /**
   * Stores the final answer of a submission, or releases its claim. Gets false
   * on failure.
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
      this.#completes.set(claimId, (stored) => {
        clearTimeout(timer);
        resolve(stored);
      });
      send({ case: "complete", value });
    });
  }

  /** Handles a reply to a claim. */
  handleClaimReply(reply: ClaimReply): void {
    const receive = this.#claims.get(reply.claimId);
    if (reply.outcome !== "running") {
      this.#claims.delete(reply.claimId);
    }
    receive?.(reply);
  }

  /** Handles the confirmation of a stored answer. */
  handleCompleteReply(claimId: number, stored: boolean): void {
    this.#completes.get(claimId)?.(stored);
    this.#completes.delete(claimId);
  }

  /** Ends everything that is open, after the stream broke. */
  close(): void {
    for (const receive of this.#claims.values()) {
      receive(undefined);
    }
    this.#claims.clear();
    for (const claimId of [...this.#completes.keys()]) {
      this.handleCompleteReply(claimId, false);
    }
  }
}
