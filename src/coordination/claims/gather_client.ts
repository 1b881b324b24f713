import PQueue from "p-queue";
import type { HomeFinder } from "../../state/homes/mod.ts";
import type { LogFollower } from "../follower/mod.ts";
import type { PeerClient } from "../ports/mod.ts";
import type { GatherReply } from "../messages/mod.ts";
import { readKnownClaims } from "./read_known_claims.ts";

/** Maximum number of concurrent gather calls. */
const MAX_CONCURRENT_CALLS = 32;

/**
 * Delay before the first retry after a failed call to a member, in
 * milliseconds. It doubles with each failure.
 */
const MIN_RETRY_DELAY_MS = 100;

/** Longest delay before a retry, in milliseconds. */
const MAX_RETRY_DELAY_MS = 400;

export interface GatherClientOptions {
  /** Member id of the home that makes the calls. */
  memberId: string;
  follower: LogFollower;
  homes: HomeFinder;
  peers: Pick<PeerClient, "gather">;
  /** Called with the member id for each stored reply. */
  onReply: (memberId: string) => void;
}

/**
 * Makes the gather calls of one home, which ask members for the claims that
 * they know, and stores the last reply of each member.
 */
export class GatherClient {
  readonly #options: GatherClientOptions;
  readonly #queue = new PQueue({ concurrency: MAX_CONCURRENT_CALLS });
  readonly #pendingIds = new Set<string>();
  readonly #replies = new Map<string, GatherReply>();
  readonly #retries = new Map<string, { delayMs: number; dueAt: number }>();

  constructor(options: GatherClientOptions) {
    this.#options = options;
  }

  /** Gets the last reply of a member. */
  getReply(memberId: string): GatherReply | undefined {
    return this.#replies.get(memberId);
  }

  /** Gets the last replies of all members, by member id. */
  getReplies(): ReadonlyMap<string, GatherReply> {
    return this.#replies;
  }

  /** Returns whether a member has answered at an epoch or later. */
  hasReplied(memberId: string, epoch: number): boolean {
    return (this.#replies.get(memberId)?.epoch ?? -1) >= epoch;
  }

  /**
   * Starts calls to members, except those with a call in progress or a retry
   * that isn't due yet.
   * @param members - By member id, the epoch of the first home change that the
   * member is asked about.
   */
  startCalls(members: ReadonlyMap<string, number>): void {
    const now = performance.now();
    for (const [id, since] of members) {
      const isDue = now >= (this.#retries.get(id)?.dueAt ?? 0);
      if (isDue && !this.#pendingIds.has(id)) {
        this.#pendingIds.add(id);
        void this.#queue.add(() => this.#callMember(id, since));
      }
    }
  }

  /** Removes all replies and retry delays. */
  clear(): void {
    this.#replies.clear();
    this.#retries.clear();
  }

  async #callMember(id: string, since: number): Promise<void> {
    const { peers, memberId, homes, follower, onReply } = this.#options;
    const address = follower.view.getMember(id)?.peerAddress;
    const request = { home: memberId, epoch: homes.epoch, since };
    const reply = address === undefined
      ? undefined
      : await readKnownClaims(peers, address, request);
    this.#pendingIds.delete(id);
    // A member with a newer view may have left out keys that this home would
    // still grant under its own view.
    if (reply !== undefined && reply.epoch <= homes.epoch) {
      this.#replies.set(id, reply);
      this.#retries.delete(id);
      onReply(id);
    } else {
      const { delayMs: lastMs = MIN_RETRY_DELAY_MS / 2 } =
        this.#retries.get(id) ?? {};
      const delayMs = Math.min(2 * lastMs, MAX_RETRY_DELAY_MS);
      this.#retries.set(id, { delayMs, dueAt: performance.now() + delayMs });
    }
  }
}
