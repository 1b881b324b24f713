import { ClaimTable } from "../../state/claims/mod.ts";
import type { HomeFinder } from "../../state/homes/mod.ts";
import { GatherHandler, getAnswerSizeBytes } from "../claims/mod.ts";
import type { LogFollower } from "../follower/mod.ts";
import type {
  ClaimReply,
  GatherReply,
  GatherRequest,
  StoredAnswer,
} from "../messages/mod.ts";
import type { AgentPool } from "./agent_pool.ts";

/** Delay before a claim is retried, in milliseconds. */
const RETRY_DELAY_MS = 50;

/** Maximum delay between two attempts to store an answer, in milliseconds. */
const MAX_RETRY_DELAY_MS = 2_000;

/**
 * Time after which the caller is answered although the home has not confirmed
 * the answer, in milliseconds. This entry keeps the answer and continues to
 * retry.
 */
const STORE_TIMEOUT_MS = 1_000;

export interface ClaimClientOptions {
  /** Member id of this entry. */
  memberId: string;
  follower: LogFollower;
  homes: HomeFinder;
  pool: Pick<AgentPool, "getOrOpenLink">;
  /** The claims that this entry coordinates. */
  table?: ClaimTable<StoredAnswer>;
}

/**
 * The entry's side of idempotent submission. It claims each idempotency key at
 * the key's home, which is the agent that stores the claim, and stores the
 * answer there. It also keeps its own claims and their answers for the
 * idempotency window, so that a new home can rebuild them when the old one is
 * lost.
 */
export class ClaimClient {
  readonly #options: ClaimClientOptions;
  readonly #table: ClaimTable<StoredAnswer>;
  readonly #gatherHandler: GatherHandler;
  /**
   * Keys whose release has not been confirmed by their homes yet.
   */
  readonly #releasingKeys = new Set<string>();
  #pendingStores = 0;
  #isStopped = false;

  constructor(options: ClaimClientOptions) {
    this.#options = options;
    this.#table = options.table ??
      new ClaimTable({ getAnswerSizeBytes });
    this.#gatherHandler = new GatherHandler({ ...options, table: this.#table });
  }

  /**
   * Claims a key. Waits while another coordinator runs the submission, and
   * retries while the home changes or can't be reached. Returns undefined when
   * the deadline passes first.
   * @param key - Idempotency key with its scope.
   * @param fingerprint - Digest of the request.
   * @param options - `deadline` is a time of `performance.now()`.
   */
  async claim(
    key: string,
    fingerprint: string,
    options: { deadline: number },
  ): Promise<ClaimReply | undefined> {
    this.#table.removeExpired();
    let isGrantPossible = false;
    while (performance.now() < options.deadline) {
      if (!this.#releasingKeys.has(key)) {
        const reply = await this.#claimOnce(key, fingerprint, options);
        if (reply !== undefined && reply.outcome !== "moved") {
          return reply;
        }
        isGrantPossible ||= reply === undefined;
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
    if (isGrantPossible) {
      // A reply that was lost with its stream may have been a grant.
      void this.#release(key, fingerprint);
    }
    return undefined;
  }

  /**
   * Stores the final answer at the key's home, or releases the claim when there
   * is no answer. Returns false when the home doesn't confirm within
   * `STORE_TIMEOUT_MS`; retries then continue in the background.
   */
  async complete(
    key: string,
    fingerprint: string,
    answer?: StoredAnswer,
  ): Promise<boolean> {
    let stored: Promise<boolean>;
    if (answer === undefined) {
      this.#table.release(key, this.#options.memberId);
      stored = this.#release(key, fingerprint);
    } else {
      const coordinator = this.#options.memberId;
      this.#table.complete(key, fingerprint, { coordinator, answer });
      stored = this.#store(key, fingerprint, { answer });
    }
    const timeout = new Promise<boolean>((resolve) =>
      setTimeout(() => resolve(false), STORE_TIMEOUT_MS).unref()
    );
    return await Promise.race([stored, timeout]);
  }

  /** Handles a new home's request for the claims of its keys. */
  handleGather(request: GatherRequest): GatherReply {
    return this.#gatherHandler.handle(request);
  }

  /**
   * Waits until the homes have confirmed every answer and release, or the
   * signal aborts.
   */
  async flush(signal: AbortSignal): Promise<void> {
    while (this.#pendingStores > 0 && !signal.aborted) {
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }

  /** Stops the retries in the background. */
  stop(): void {
    this.#isStopped = true;
  }

  #claimOnce(
    key: string,
    fingerprint: string,
    options: { deadline: number },
  ): Promise<ClaimReply | undefined> {
    const link = this.#getHomeLink(key);
    if (link === undefined) {
      return Promise.resolve(undefined);
    }
    return new Promise((resolve) => {
      let isAbandoned = false;
      const abandon = () => {
        isAbandoned = true;
        resolve(undefined);
      };
      const timer = setTimeout(abandon, options.deadline - performance.now());
      link.claims.claim(key, fingerprint, {
        receive: (reply) => {
          if (isAbandoned) {
            if (reply === undefined || reply.outcome === "granted") {
              void this.#release(key, fingerprint);
            }
            return;
          }
          const result = this.#evaluateReply(reply, { key, fingerprint });
          if (result !== "waiting") {
            clearTimeout(timer);
            resolve(result);
          }
        },
      });
    });
  }

  /**
   * Evaluates a reply for one submission: returns `waiting` when another reply
   * will follow, and undefined when the claim has to be retried.
   */
  #evaluateReply(
    reply: ClaimReply | undefined,
    options: { key: string; fingerprint: string },
  ): ClaimReply | undefined | "waiting" {
    const { key, fingerprint } = options;
    const coordinator = this.#options.memberId;
    if (reply?.outcome === "running") {
      // If the running coordinator is this entry and it has no such claim, the
      // home's grant was lost with its stream.
      const isLostGrant = reply.coordinator === coordinator &&
        this.#table.get(key) === undefined && !this.#releasingKeys.has(key);
      if (!isLostGrant) {
        return "waiting";
      }
    } else if (reply?.outcome !== "granted") {
      return reply;
    }
    if (this.#releasingKeys.has(key)) {
      // The pending release also revokes this grant.
      return undefined;
    }
    const decision = this.#table.claim(key, fingerprint, { coordinator });
    switch (decision.type) {
      case "granted":
      case "lost":
        return { ...reply, outcome: decision.type };
      case "running":
        // Another submission with this key runs at this entry; the retry of
        // this claim waits for its answer.
        return undefined;
      case "conflict":
      case "done": {
        // The home has lost a claim that this entry still keeps.
        const ownClaim = this.#table.get(key);
        const answer = ownClaim?.answer;
        if (ownClaim !== undefined && answer !== undefined) {
          void this.#store(key, ownClaim.fingerprint, { answer });
        }
        return { ...reply, outcome: decision.type, answer };
      }
      default:
        return decision satisfies never;
    }
  }

  /** Releases a claim unless this entry runs or has run its submission. */
  async #release(key: string, fingerprint: string): Promise<boolean> {
    if (this.#table.get(key) !== undefined || this.#releasingKeys.has(key)) {
      return false;
    }
    this.#releasingKeys.add(key);
    try {
      return await this.#store(key, fingerprint);
    } finally {
      this.#releasingKeys.delete(key);
    }
  }

  async #store(
    key: string,
    fingerprint: string,
    options: { answer?: StoredAnswer } = {},
  ): Promise<boolean> {
    this.#pendingStores++;
    try {
      return await this.#sendUntilStored(key, fingerprint, options);
    } finally {
      this.#pendingStores--;
    }
  }

  /**
   * Sends an answer or a release to the key's current home until it is
   * confirmed. Returns false when the client was stopped or the claim has
   * expired before that.
   */
  async #sendUntilStored(
    key: string,
    fingerprint: string,
    options: { answer?: StoredAnswer },
  ): Promise<boolean> {
    const { answer } = options;
    const isNeeded = () =>
      !this.#isStopped &&
      (answer === undefined || this.#table.get(key) !== undefined);
    for (let delayMs = RETRY_DELAY_MS; isNeeded(); delayMs *= 2) {
      const link = this.#getHomeLink(key);
      if (await link?.claims.complete(key, fingerprint, answer)) {
        return true;
      }
      const waitMs = Math.min(delayMs, MAX_RETRY_DELAY_MS);
      await new Promise((resolve) => setTimeout(resolve, waitMs).unref());
    }
    return false;
  }

  #getHomeLink(key: string) {
    const home = this.#options.homes.find(key);
    return home === undefined
      ? undefined
      : this.#options.pool.getOrOpenLink(home.id);
  }
}
