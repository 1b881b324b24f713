import type { Claim } from "./claim.ts";
import type { ClaimDecision } from "./claim_decision.ts";

/**
 * Time that a claim is kept after it was granted or completed, in milliseconds.
 */
const IDEMPOTENCY_WINDOW_MS = 600_000;

/**
 * Maximum memory for stored answers, in bytes. An agent may use 256 MB in
 * total.
 */
const MAX_ANSWER_BYTES = 64 * 1_048_576;

/**
 * Maximum number of claims in a table. At 180,000 single requests per second
 * and 704 homes, a home has about 153,000 claims in a window.
 */
const MAX_CLAIMS = 250_000;

export interface ClaimTableOptions<Answer> {
  windowMs?: number;
  maxClaims?: number;
  maxAnswerBytes?: number;
  /** Gets the memory use of an answer, in bytes. */
  getAnswerSizeBytes?: (answer: Answer) => number;
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Claims by idempotency key: those of the keys of one home agent, or those of
 * the submissions that one entry coordinates. A key is granted once; later
 * claims of the same key find the running submission or its stored answer. When
 * the answers exceed their memory limit, the oldest are dropped. Their claims
 * are kept, so that no task is started again.
 */
export class ClaimTable<Answer> {
  readonly #options: Required<ClaimTableOptions<Answer>>;
  readonly #claims = new Map<string, Claim<Answer>>();
  /** Memory use of the stored answers by key, the oldest first. */
  readonly #answerSizesBytes = new Map<string, number>();
  /** Keys of the running claims of each coordinator. */
  readonly #runningKeys = new Map<string, Set<string>>();
  #totalAnswerBytes = 0;

  constructor(options: ClaimTableOptions<Answer> = {}) {
    this.#options = {
      windowMs: IDEMPOTENCY_WINDOW_MS,
      maxClaims: MAX_CLAIMS,
      maxAnswerBytes: MAX_ANSWER_BYTES,
      getAnswerSizeBytes: () => 0,
      getTime: () => performance.now(),
      ...options,
    };
  }

  /** Gets the number of claims. */
  get size(): number {
    return this.#claims.size;
  }

  /**
   * Returns whether the table is full. New keys must not be granted then, since
   * their claims couldn't be stored.
   */
  get isFull(): boolean {
    return this.#claims.size >= this.#options.maxClaims;
  }

  /** Gets the claim of a key. */
  get(key: string): Claim<Answer> | undefined {
    return this.#claims.get(key);
  }

  /** Gets all claims. */
  getAll(): IterableIterator<Claim<Answer>> {
    return this.#claims.values();
  }

  /**
   * Claims a key for a coordinator, unless it is already claimed.
   * @param key - Idempotency key with its scope.
   * @param fingerprint - Digest of the request.
   * @param options - The entry that wants to run the submission.
   */
  claim(
    key: string,
    fingerprint: string,
    options: { coordinator: string },
  ): ClaimDecision<Answer> {
    const claim = this.#claims.get(key);
    if (claim === undefined) {
      const { coordinator } = options;
      this.#set({ key, fingerprint, coordinator, state: "running" });
      return { type: "granted" };
    }
    if (claim.fingerprint !== "" && claim.fingerprint !== fingerprint) {
      return { type: "conflict" };
    }
    switch (claim.state) {
      case "running":
        return { type: "running", coordinator: claim.coordinator };
      case "done":
        return { type: "done", claim };
      case "lost":
        return { type: "lost" };
      default:
        return claim.state satisfies never;
    }
  }

  /**
   * Stores the final answer of a claim. Doesn't change another coordinator's
   * claim.
   */
  complete(
    key: string,
    fingerprint: string,
    options: { coordinator: string; answer: Answer },
  ): void {
    const known = this.#claims.get(key);
    if (known === undefined || known.coordinator === options.coordinator) {
      this.#set({ key, fingerprint, state: "done", ...options });
    }
  }

  /**
   * Removes a coordinator's claim whose submission was refused before any task
   * was dispatched.
   */
  release(key: string, coordinator: string): void {
    const claim = this.#claims.get(key);
    if (claim?.coordinator === coordinator && claim.state !== "done") {
      this.remove(key);
    }
  }

  /**
   * Adds a claim that another member reported. A known answer is never replaced
   * by a claim with less information.
   */
  merge(claim: Omit<Claim<Answer>, "expiresAt">): void {
    const known = this.#claims.get(claim.key);
    const isBetter = known === undefined ||
      (known.state !== "done" && claim.state === "done") ||
      (known.answer === undefined && claim.answer !== undefined) ||
      (known.state === claim.state && known.fingerprint === "");
    if (isBetter) {
      this.#set(claim);
    }
  }

  /**
   * Marks the running claims of a removed coordinator as lost. Returns their
   * keys.
   */
  markCoordinatorLost(coordinator: string): string[] {
    const keys = [...this.#runningKeys.get(coordinator) ?? []];
    for (const key of keys) {
      this.#set({ ...this.#claims.get(key) as Claim<Answer>, state: "lost" });
    }
    return keys;
  }

  /** Removes a claim. */
  remove(key: string): void {
    const claim = this.#claims.get(key);
    if (claim === undefined) {
      return;
    }
    this.#claims.delete(key);
    this.#removeAnswerSize(key);
    const runningKeys = this.#runningKeys.get(claim.coordinator);
    runningKeys?.delete(key);
    if (runningKeys?.size === 0) {
      this.#runningKeys.delete(claim.coordinator);
    }
  }

  /**
   * Removes expired claims and returns their keys. The claims are in order of
   * expiry, so this stops at the first one that hasn't expired.
   */
  removeExpired(): string[] {
    const now = this.#options.getTime();
    const keys: string[] = [];
    for (const claim of this.#claims.values()) {
      if (claim.expiresAt > now) {
        break;
      }
      this.remove(claim.key);
      keys.push(claim.key);
    }
    return keys;
  }

  #set(claim: Omit<Claim<Answer>, "expiresAt">): void {
    // Removing first moves the key to the end, which keeps the map in order of
    // expiry.
    this.remove(claim.key);
    const { windowMs, getTime, getAnswerSizeBytes } = this.#options;
    const expiresAt = getTime() + windowMs;
    this.#claims.set(claim.key, { ...claim, expiresAt });
    if (claim.state === "running") {
      const runningKeys = this.#runningKeys.get(claim.coordinator) ?? new Set();
      runningKeys.add(claim.key);
      this.#runningKeys.set(claim.coordinator, runningKeys);
    }
    if (claim.answer !== undefined) {
      const bytes = getAnswerSizeBytes(claim.answer);
      this.#answerSizesBytes.set(claim.key, bytes);
      this.#totalAnswerBytes += bytes;
      this.#removeOldAnswers();
    }
  }

  #removeOldAnswers(): void {
    for (const key of this.#answerSizesBytes.keys()) {
      if (this.#totalAnswerBytes <= this.#options.maxAnswerBytes) {
        return;
      }
      this.#removeAnswerSize(key);
      const { answer: _, ...claim } = this.#claims.get(key) as Claim<Answer>;
      // Setting an existing key keeps its place in the order of expiry.
      this.#claims.set(key, claim);
    }
  }

  #removeAnswerSize(key: string): void {
    this.#totalAnswerBytes -= this.#answerSizesBytes.get(key) ?? 0;
    this.#answerSizesBytes.delete(key);
  }
}
