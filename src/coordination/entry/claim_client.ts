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

/** Wait before a claim is tried again, in milliseconds. */
const RETRY_DELAY_MS = 50;

/** Longest wait between two tries to store an answer, in milliseconds. */
const MAX_RETRY_DELAY_MS = 2_000;

/**
 * Longest wait for the home before the caller is answered all the same, in
 * milliseconds. This entry keeps the answer, and goes on trying.
 */
const STORE_WAIT_MS = 1_000;

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
 * The entry's side of idempotent submission: claims keys at their homes and
 * stores the answers there. It keeps its own claims with their answers for the
 * idempotency window, so that they can be rebuilt when their home is lost.
 */
export class ClaimClient {
  readonly #options: ClaimClientOptions;
  readonly #table: ClaimTable<StoredAnswer>;
  readonly #gatherHandler: GatherHandler;
  /**
   * Keys whose claim this entry gives up, until their homes have confirmed it.
   */
  readonly #releasing = new Set<string>();
  #openStores = 0;
  #isStopped = false;

  constructor(options: ClaimClientOptions) {
    this.#options = options;
    this.#table = options.table ??
      new ClaimTable({ getAnswerSizeBytes: getAnswerSizeBytes });
    this.#gatherHandler = new GatherHandler({ ...options, table: this.#table });
  }

  /**
   * Claims a key. Waits while another coordinator runs the submission, and
   * tries again while the home moves or can't be reached. Gets undefined when
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
      if (!this.#releasing.has(key)) {
        const reply = await this.#claimOnce(key, fingerprint, options);
        if (reply !== undefined && reply.outcome !== "moved") {
          return reply;
        }
        isGrantPossible ||= reply === undefined;
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
    if (isGrantPossible) {
      // The reply that got lost with its stream may have been a grant.
      void this.#release(key, fingerprint);
    }
    return undefined;
  }

  /**
   * Stores the final answer at the key's home, or releases the claim when there
   * is none. Gets false when the home didn't confirm it in time; then it is
   * tried again in the background.
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
    const isLate = new Promise<boolean>((resolve) =>
      setTimeout(() => resolve(false), STORE_WAIT_MS).unref()
    );
    return await Promise.race([stored, isLate]);
  }

  /** Handles the gather call of a home that gained keys. */
  handleGather(request: GatherRequest): GatherReply {
    return this.#gatherHandler.handle(request);
  }

  /**
   * Waits until the homes have confirmed every answer and release, or the
   * signal aborts.
   */
  async flush(signal: AbortSignal): Promise<void> {
    while (this.#openStores > 0 && !signal.aborted) {
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }

  /** Stops the tries in the background. */
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
          const final = this.#resolveReply(reply, { key, fingerprint });
          if (final !== "waiting") {
            clearTimeout(timer);
            resolve(final);
          }
        },
      });
    });
  }

  /**
   * Gets what a reply means for one submission: `waiting` when another reply
   * follows.
   */
  #resolveReply(
    reply: ClaimReply | undefined,
    options: { key: string; fingerprint: string },
  ): ClaimReply | undefined | "waiting" {
    const { key, fingerprint } = options;
    const coordinator = this.#options.memberId;
    if (reply?.outcome === "running") {
      // The home granted the key to this entry, but the reply was lost with its
      // stream.
      const isLostGrant = reply.coordinator === coordinator &&
        this.#table.get(key) === undefined && !this.#releasing.has(key);
      if (!isLostGrant) {
        return "waiting";
      }
    } else if (reply?.outcome !== "granted") {
      return reply;
    }
    if (this.#releasing.has(key)) {
      // The release on its way also ends this grant.
      return undefined;
    }
    const decision = this.#table.claim(key, fingerprint, { coordinator });
    switch (decision.type) {
      case "granted":
      case "lost":
        return { ...reply, outcome: decision.type };
      case "running":
        // Another submission of this entry runs; the next claim of this one
        // waits for its answer.
        return undefined;
      case "conflict":
      case "done": {
        // The home has forgotten a claim that this entry still keeps.
        const known = this.#table.get(key);
        const answer = known?.answer;
        if (known !== undefined && answer !== undefined) {
          void this.#store(key, known.fingerprint, { answer });
        }
        return { ...reply, outcome: decision.type, answer };
      }
      default:
        return decision satisfies never;
    }
  }

  /** Gives a claim up, unless this entry runs it or has run it. */
  async #release(key: string, fingerprint: string): Promise<boolean> {
    if (this.#table.get(key) !== undefined || this.#releasing.has(key)) {
      return false;
    }
    this.#releasing.add(key);
    try {
      return await this.#store(key, fingerprint);
    } finally {
      this.#releasing.delete(key);
    }
  }

  async #store(
    key: string,
    fingerprint: string,
    options: { answer?: StoredAnswer } = {},
  ): Promise<boolean> {
    this.#openStores++;
    try {
      return await this.#sendUntilStored(key, fingerprint, options);
    } finally {
      this.#openStores--;
    }
  }

  /**
   * Tries to store an answer or a release until the key's home of that time has
   * confirmed it.
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
    for (let delay = RETRY_DELAY_MS; isNeeded(); delay *= 2) {
      const link = this.#getHomeLink(key);
      if (await link?.claims.complete(key, fingerprint, answer)) {
        return true;
      }
      const wait = Math.min(delay, MAX_RETRY_DELAY_MS);
      await new Promise((resolve) => setTimeout(resolve, wait).unref());
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
