import PQueue from "p-queue";
import type { HomeFinder } from "../../state/homes/mod.ts";
import type { LogFollower } from "../follower/mod.ts";
import type { PeerClient } from "../ports/mod.ts";
import type { GatherReply } from "../messages/mod.ts";
import { readKnownClaims } from "./read_known_claims.ts";

/** Gather calls that may be open at one time. */
const MAX_OPEN_CALLS = 32;

/**
 * Wait before a member that couldn't answer is asked again, in milliseconds; it
 * doubles each time.
 */
const RETRY_DELAY_MS = 100;

/** Longest wait before a member is asked again, in milliseconds. */
const MAX_RETRY_DELAY_MS = 400;

export interface GatherClientOptions {
  /** Member id of the home that asks. */
  memberId: string;
  follower: LogFollower;
  homes: HomeFinder;
  peers: Pick<PeerClient, "gather">;
  /** Called for each answer. */
  onAnswer: (memberId: string) => void;
}

/** The gather calls of one home and the last answer of each member. */
export class GatherClient {
  readonly #options: GatherClientOptions;
  readonly #queue = new PQueue({ concurrency: MAX_OPEN_CALLS });
  readonly #asked = new Set<string>();
  readonly #answers = new Map<string, GatherReply>();
  readonly #retries = new Map<string, { delay: number; time: number }>();

  constructor(options: GatherClientOptions) {
    this.#options = options;
  }

  /** Gets the last answer of a member. */
  getAnswer(memberId: string): GatherReply | undefined {
    return this.#answers.get(memberId);
  }

  /** Gets the last answers of all members, by member id. */
  getAnswers(): ReadonlyMap<string, GatherReply> {
    return this.#answers;
  }

  /** Has a member answered at an epoch or later? */
  hasAnswered(memberId: string, epoch: number): boolean {
    return (this.#answers.get(memberId)?.epoch ?? -1) >= epoch;
  }

  /**
   * Asks members, except those that are being asked already.
   * @param members - Ids with the first change of homes that each is asked
   * about.
   */
  startCalls(members: ReadonlyMap<string, number>): void {
    const now = performance.now();
    for (const [id, since] of members) {
      const isDue = now >= (this.#retries.get(id)?.time ?? 0);
      if (isDue && !this.#asked.has(id)) {
        this.#asked.add(id);
        void this.#queue.add(() => this.#ask(id, since));
      }
    }
  }

  /** Forgets all answers. */
  clear(): void {
    this.#answers.clear();
    this.#retries.clear();
  }

  async #ask(id: string, since: number): Promise<void> {
    const { peers, memberId, homes, follower, onAnswer } = this.#options;
    const address = follower.view.getMember(id)?.peerAddress;
    const request = { home: memberId, epoch: homes.epoch, since };
    const answer = address === undefined
      ? undefined
      : await readKnownClaims(peers, address, request);
    this.#asked.delete(id);
    // A member that is ahead may have left out keys that this home would still
    // grant under its own view.
    if (answer !== undefined && answer.epoch <= homes.epoch) {
      this.#answers.set(id, answer);
      this.#retries.delete(id);
      onAnswer(id);
    } else {
      const { delay: last = RETRY_DELAY_MS / 2 } = this.#retries.get(id) ?? {};
      const delay = Math.min(2 * last, MAX_RETRY_DELAY_MS);
      this.#retries.set(id, { delay, time: performance.now() + delay });
    }
  }
}
