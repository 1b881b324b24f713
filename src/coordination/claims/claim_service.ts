import { ClaimTable } from "../../state/claims/mod.ts";
import type { HomeFinder } from "../../state/homes/mod.ts";
import type { LogFollower } from "../follower/mod.ts";
import type { Claim, Complete, StoredAnswer } from "../messages/mod.ts";
import type { ClaimServiceReply } from "./claim_service_reply.ts";

export interface ClaimServiceOptions {
  follower: LogFollower;
  homes: HomeFinder;
  /** Id of this agent's member. */
  memberId: string;
  table?: ClaimTable<StoredAnswer>;
}

/** The home side of idempotent submission: grants each key to one coordinator and keeps its answer. */
export class ClaimService {
  readonly #follower: LogFollower;
  readonly #homes: HomeFinder;
  readonly #memberId: string;
  readonly #table: ClaimTable<StoredAnswer>;
  readonly #watchers = new Map<
    string,
    Set<(reply: ClaimServiceReply) => void>
  >();

  constructor(options: ClaimServiceOptions) {
    this.#follower = options.follower;
    this.#homes = options.homes;
    this.#memberId = options.memberId;
    this.#table = options.table ?? new ClaimTable();
    this.#follower.addListener((event) => {
      if (event.type === "removed" && event.member.role === "entry") {
        this.#loseCoordinator(event.member.id);
      }
    });
  }

  /**
   * Handles a claim.
   * @param claim - The message.
   * @param coordinatorId - Member id of the entry that sent it.
   * @param options - `reply` is called once, and again with the final reply after `running`.
   */
  handleClaim(
    claim: Claim,
    coordinatorId: string,
    options: { reply: (reply: ClaimServiceReply) => void },
  ): void {
    this.#table.removeExpired();
    if (!this.#follower.canStartWork()) {
      options.reply({ outcome: "held_back", coordinator: "" });
      return;
    }
    if (this.#homes.find(claim.key)?.id !== this.#memberId) {
      options.reply({ outcome: "moved", coordinator: "" });
      return;
    }
    const decision = this.#table.claim(claim.key, claim.fingerprint, {
      coordinator: coordinatorId,
    });
    switch (decision.type) {
      case "granted":
      case "conflict":
      case "lost":
        options.reply({ outcome: decision.type, coordinator: "" });
        return;
      case "running":
        options.reply({
          outcome: "running",
          coordinator: decision.coordinator,
        });
        this.#addWatcher(claim.key, options.reply);
        return;
      case "done":
        options.reply({
          outcome: "done",
          coordinator: decision.claim.coordinator,
          answer: decision.claim.answer,
        });
        return;
      default:
        return decision satisfies never;
    }
  }

  /** Stores a final answer, or releases the claim. Returns false when this agent isn't the key's home. */
  handleComplete(complete: Complete, coordinatorId: string): boolean {
    if (this.#homes.find(complete.key)?.id !== this.#memberId) {
      return false;
    }
    if (complete.answer === undefined) {
      this.#table.release(complete.key, coordinatorId);
      return true;
    }
    const { key, fingerprint, answer } = complete;
    this.#table.complete(key, fingerprint, {
      coordinator: coordinatorId,
      answer,
    });
    this.#notify(key, { outcome: "done", coordinator: coordinatorId, answer });
    return true;
  }

  #loseCoordinator(coordinatorId: string): void {
    for (const key of this.#table.loseCoordinator(coordinatorId)) {
      this.#notify(key, { outcome: "lost", coordinator: coordinatorId });
    }
  }

  #addWatcher(key: string, reply: (reply: ClaimServiceReply) => void): void {
    const watchers = this.#watchers.get(key) ?? new Set();
    watchers.add(reply);
    this.#watchers.set(key, watchers);
  }

  #notify(key: string, reply: ClaimServiceReply): void {
    for (const watcher of this.#watchers.get(key) ?? []) {
      watcher(reply);
    }
    this.#watchers.delete(key);
  }
}
