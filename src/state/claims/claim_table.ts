import type { Claim } from "./claim.ts";
import type { ClaimDecision } from "./claim_decision.ts";

/** Time that a claim is remembered after it was granted or completed, in milliseconds. */
const IDEMPOTENCY_WINDOW_MS = 600_000;

export interface ClaimTableOptions {
  windowMs?: number;
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * The claims of one home. A key is granted once; later claims of the same key find the running
 * submission or its stored answer.
 */
export class ClaimTable<Answer> {
  readonly #windowMs: number;
  readonly #getTime: () => number;
  readonly #claims = new Map<string, Claim<Answer>>();

  constructor(options: ClaimTableOptions = {}) {
    this.#windowMs = options.windowMs ?? IDEMPOTENCY_WINDOW_MS;
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** Gets the number of remembered claims. */
  get size(): number {
    return this.#claims.size;
  }

  /** Gets the claim of a key. */
  get(key: string): Claim<Answer> | undefined {
    return this.#claims.get(key);
  }

  /** Gets all remembered claims. */
  getAll(): Claim<Answer>[] {
    return [...this.#claims.values()];
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
      this.#set({
        key,
        fingerprint,
        coordinator: options.coordinator,
        state: "running",
      });
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

  /** Stores the final answer of a claim. */
  complete(
    key: string,
    fingerprint: string,
    options: { coordinator: string; answer: Answer },
  ): void {
    this.#set({ key, fingerprint, state: "done", ...options });
  }

  /** Forgets a claim whose submission was refused before any dispatch. */
  release(key: string, coordinator: string): void {
    if (this.#claims.get(key)?.coordinator === coordinator) {
      this.#claims.delete(key);
    }
  }

  /** Adds a claim that another member knew; a known answer is never replaced by less. */
  merge(claim: Omit<Claim<Answer>, "expiresAt">): void {
    const known = this.#claims.get(claim.key);
    const isBetter = known === undefined ||
      (known.state !== "done" && claim.state === "done") ||
      (known.state === claim.state && known.fingerprint === "");
    if (isBetter) {
      this.#set(claim);
    }
  }

  /** Marks the running claims of a removed coordinator as lost, and gets their keys. */
  loseCoordinator(coordinator: string): string[] {
    const keys: string[] = [];
    for (const claim of this.#claims.values()) {
      if (claim.coordinator === coordinator && claim.state === "running") {
        this.#set({ ...claim, state: "lost" });
        keys.push(claim.key);
      }
    }
    return keys;
  }

  /** Removes a claim that has moved to another home. */
  remove(key: string): void {
    this.#claims.delete(key);
  }

  /** Forgets expired claims. Claims are kept in order of expiry, so this stops at the first live one. */
  removeExpired(): void {
    const now = this.#getTime();
    for (const claim of this.#claims.values()) {
      if (claim.expiresAt > now) {
        return;
      }
      this.#claims.delete(claim.key);
    }
  }

  #set(claim: Omit<Claim<Answer>, "expiresAt">): void {
    // Deleting first moves the key to the end, which keeps the map in order of expiry.
    this.#claims.delete(claim.key);
    this.#claims.set(claim.key, {
      ...claim,
      expiresAt: this.#getTime() + this.#windowMs,
    });
  }
}
