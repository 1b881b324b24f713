import type { HomeFinder } from "../../state/homes/mod.ts";
import type { ClaimReply, StoredAnswer } from "../messages/mod.ts";
import type { AgentPool } from "./agent_pool.ts";

/** Wait before a claim is tried again, in milliseconds. */
const RETRY_DELAY_MS = 50;

/** Tries to store a final answer before the caller is answered all the same. */
const MAX_COMPLETE_TRIES = 3;

export interface ClaimClientOptions {
  homes: HomeFinder;
  pool: AgentPool;
}

/** The entry's side of idempotent submission: claims keys at their homes and stores the answers there. */
export class ClaimClient {
  readonly #homes: HomeFinder;
  readonly #pool: AgentPool;

  constructor(options: ClaimClientOptions) {
    this.#homes = options.homes;
    this.#pool = options.pool;
  }

  /**
   * Claims a key. Waits while another coordinator runs the submission, and tries again while the home
   * moves or can't be reached. Gets undefined when the deadline passes first.
   * @param key - Idempotency key with its scope.
   * @param fingerprint - Digest of the request.
   * @param options - `deadline` is a time of `performance.now()`.
   */
  async claim(
    key: string,
    fingerprint: string,
    options: { deadline: number },
  ): Promise<ClaimReply | undefined> {
    while (performance.now() < options.deadline) {
      const reply = await this.#claimOnce(key, fingerprint, options);
      if (reply !== undefined && reply.outcome !== "moved") {
        return reply;
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
    return undefined;
  }

  /** Stores the final answer at the key's home, or releases the claim when there is none. */
  async complete(
    key: string,
    fingerprint: string,
    answer?: StoredAnswer,
  ): Promise<boolean> {
    for (let tries = 0; tries < MAX_COMPLETE_TRIES; tries++) {
      const link = this.#getHomeLink(key);
      if (await link?.claims.complete(key, fingerprint, answer)) {
        return true;
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
    return false;
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
      const timer = setTimeout(
        () => resolve(undefined),
        options.deadline - performance.now(),
      );
      link.claims.claim(key, fingerprint, {
        receive: (reply) => {
          if (reply?.outcome !== "running") {
            clearTimeout(timer);
            resolve(reply);
          }
        },
      });
    });
  }

  #getHomeLink(key: string) {
    const home = this.#homes.find(key);
    return home === undefined ? undefined : this.#pool.get(home.id);
  }
}
