import type { Claim } from "./claim.ts";
import type { ClaimDecision } from "./claim_decision.ts";

/**
 * Time that a claim is remembered after it was granted or completed, in
 * milliseconds.
 */
const IDEMPOTENCY_WINDOW_MS = 600_000;

/** Memory for stored answers, in bytes. An agent may use 256 MB in total. */
const MAX_ANSWER_BYTES = 64 * 1_048_576;

/**
 * Claims that one table holds. At 180,000 single requests a second and 704
 * homes, a home holds about 153,000 claims in a window.
 */
const MAX_CLAIMS = 250_000;

export interface ClaimTableOptions<Answer> {
  windowMs?: number;
  maxClaims?: number;
  maxAnswerBytes?: number;
  /** Gets the memory that an answer takes, in bytes. */
  getAnswerSizeBytes?: (answer: Answer) => number;
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Claims by key: those of one home, or those that one entry coordinates. A key
 * is granted once; later claims of the same key find the running submission or
 * its stored answer. When the answers take too much memory, the oldest are
 * dropped; their claims stay, so that no task starts again.
 */
export class ClaimTable<Answer> {
  readonly #options: Required<ClaimTableOptions<Answer>>;
  readonly #claims = new Map<string, Claim<Answer>>();
  /** Memory of the stored answers by key, the oldest first. */
  readonly #answerBytes = new Map<string, number>();
  /** Keys of the running claims of each coordinator. */
  readonly #running = new Map<string, Set<string>>();
  #totalBytes = 0;

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

  /** Gets the number of remembered claims. */
  get size(): number {
    return this.#claims.size;
  }

  /**
   * Is the table full? A full table grants no new key, since it couldn't
   * remember it.
   */
  get isFull(): boolean {
    return this.#claims.size >= this.#options.maxClaims;
  }

  /** Gets the claim of a key. */
  get(key: string): Claim<Answer> | undefined {
    return this.#claims.get(key);
  }

  /** Gets all remembered claims. */
  getAll(): IterableIterator<Claim<Answer>> {
    return this.#claims.values();
  }

  /**
   * Claims a key for a coordinator, unless it is claimed already.
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
   * Stores the final answer of a claim. Another coordinator's claim is left as
   * it is.
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

  /** Forgets a claim whose submission was refused before any dispatch. */
  release(key: string, coordinator: string): void {
    const claim = this.#claims.get(key);
    if (claim?.coordinator === coordinator && claim.state !== "done") {
      this.remove(key);
    }
  }

  /**
   * Adds a claim that another member knew; a known answer is never replaced by
   * less.
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
   * Marks the running claims of a removed coordinator as lost, and gets their
   * keys.
   */
  markCoordinatorLost(coordinator: string): string[] {
    const keys = [...this.#running.get(coordinator) ?? []];
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
    this.#removeBytes(key);
    const running = this.#running.get(claim.coordinator);
    running?.delete(key);
    if (running?.size === 0) {
      this.#running.delete(claim.coordinator);
    }
  }

  /**
   * Forgets expired claims, and gets their keys. Claims are kept in order of
   * expiry, so this stops at the first live one.
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
    const { windowMs, getTime, getAnswerSizeBytes: getBytes } = this.#options;
    const expiresAt = getTime() + windowMs;
    this.#claims.set(claim.key, { ...claim, expiresAt });
    if (claim.state === "running") {
      const running = this.#running.get(claim.coordinator) ?? new Set();
      running.add(claim.key);
      this.#running.set(claim.coordinator, running);
    }
    if (claim.answer !== undefined) {
      const bytes = getBytes(claim.answer);
      this.#answerBytes.set(claim.key, bytes);
      this.#totalBytes += bytes;
      this.#removeOldAnswers();
    }
  }

  #removeOldAnswers(): void {
    for (const key of this.#answerBytes.keys()) {
      if (this.#totalBytes <= this.#options.maxAnswerBytes) {
        return;
      }
      this.#removeBytes(key);
      const { answer: _, ...claim } = this.#claims.get(key) as Claim<Answer>;
      // Setting an existing key keeps its place in the order of expiry.
      this.#claims.set(key, claim);
    }
  }

  #removeBytes(key: string): void {
    this.#totalBytes -= this.#answerBytes.get(key) ?? 0;
    this.#answerBytes.delete(key);
  }
}
