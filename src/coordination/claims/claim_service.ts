import { ClaimTable } from "../../state/claims/mod.ts";
import type { HomeFinder, HomeSet } from "../../state/homes/mod.ts";
import type { ViewEvent } from "../../state/view/mod.ts";
import type { LogFollower } from "../follower/mod.ts";
import type { PeerClient } from "../ports/mod.ts";
import type {
  CompleteRequest,
  GatherReply,
  GatherRequest,
  StoredAnswer,
} from "../messages/mod.ts";
import type { ClaimServiceReply } from "./claim_service_reply.ts";
import type { ClaimWaiter } from "./claim_waiter.ts";
import { ClaimWaiters } from "./claim_waiters.ts";
import type { DepartureHistory } from "./departure_history.ts";
import { GatherHandler } from "./gather_handler.ts";
import { getAnswerSizeBytes } from "./get_answer_size_bytes.ts";
import { Takeover } from "./takeover.ts";

/**
 * Interval at which a leaving home checks whether the new homes have fetched
 * its claims, in milliseconds.
 */
const HANDOVER_POLL_INTERVAL_MS = 50;

export interface ClaimServiceOptions {
  follower: LogFollower;
  homes: HomeFinder;
  /** Member id of this agent. */
  memberId: string;
  /** Availability zone of this agent. */
  zone: string;
  peers: Pick<PeerClient, "gather">;
  departureHistory: DepartureHistory;
  /**
   * Gets the idempotency keys that have a started task at this agent, each with
   * the member id of the coordinator.
   */
  getStartedKeys: () => Map<string, string>;
  table?: ClaimTable<StoredAnswer>;
}

/**
 * Handles claims of idempotency keys at their home, the agent that is
 * responsible for them: grants each key to one coordinator, the entry that runs
 * the submission, and stores the final answer.
 */
export class ClaimService {
  readonly #options: ClaimServiceOptions;
  readonly #table: ClaimTable<StoredAnswer>;
  readonly #gatherHandler: GatherHandler;
  readonly #takeover: Takeover;
  /** Claim requests that wait for the running submission of their key. */
  readonly #submissionWaiters = new ClaimWaiters();
  /** Claim requests for unknown keys that wait for a takeover. */
  readonly #takeoverWaiters = new ClaimWaiters();
  #homeSet: HomeSet;
  /** Epoch at which this agent left the home set, in order to stop. */
  #departureEpoch: number | undefined;

  constructor(options: ClaimServiceOptions) {
    this.#options = options;
    this.#table = options.table ??
      new ClaimTable({ getAnswerSizeBytes });
    this.#gatherHandler = new GatherHandler({
      ...options,
      table: this.#table,
      isCompleteSince: (epoch) => this.#takeover.isCompleteSince(epoch),
    });
    this.#takeover = new Takeover({
      ...options,
      table: this.#table,
      gatherHandler: this.#gatherHandler,
      onProgress: () => this.#retryTakeoverWaiters(),
    });
    this.#homeSet = options.homes.getHomeSet();
    options.follower.addListener((event) => this.#handleViewEvent(event));
  }

  /** Gets the number of claims in this agent's table. */
  get size(): number {
    return this.#table.size;
  }

  /**
   * Handles a claim request. The request gets one reply; after `running`, a
   * final reply follows.
   */
  handleClaim(request: ClaimWaiter): void {
    const { claim, reply } = request;
    for (const key of this.#table.removeExpired()) {
      this.#notifySubmissionWaiters(key, { outcome: "moved", coordinator: "" });
    }
    const refusal = this.#findRefusal(request);
    if (refusal !== undefined) {
      reply({ outcome: refusal, coordinator: "" });
      return;
    }
    const known = this.#table.get(claim.key);
    if (known?.state !== "done") {
      const blockReason = this.#takeover.getBlockReason(claim.key);
      const isHeldBack = known === undefined &&
        (blockReason === "held" || this.#table.isFull);
      if (
        blockReason === "waiting"
          ? !this.#takeoverWaiters.add(request)
          : isHeldBack
      ) {
        reply({ outcome: "held_back", coordinator: "" });
      }
      if (blockReason === "waiting" || isHeldBack) {
        return;
      }
    }
    this.#decide(request);
  }

  /**
   * Stores a final answer, or releases the claim if there is none. Returns
   * false when this agent isn't the key's home, or the coordinator is no longer
   * a member.
   */
  handleComplete(complete: CompleteRequest, coordinatorId: string): boolean {
    const { homes, memberId, follower } = this.#options;
    const { key, fingerprint, answer } = complete;
    // The claims of a removed coordinator are already marked as lost.
    const isMember = follower.view.getMember(coordinatorId) !== undefined;
    if (homes.find(key)?.id !== memberId || !isMember) {
      return false;
    }
    if (answer === undefined) {
      this.#table.release(key, coordinatorId);
      this.#takeover.recordRelease(key, coordinatorId);
      // The waiting entries send their claims again. This also ends requests
      // that the coordinator itself sent on streams which have since broken.
      const moved = { outcome: "moved", coordinator: "" } as const;
      this.#notifySubmissionWaiters(key, moved);
      this.#takeoverWaiters.remove(key).forEach((waiter) =>
        waiter.reply(moved)
      );
      return true;
    }
    this.#table.complete(key, fingerprint, {
      coordinator: coordinatorId,
      answer,
    });
    this.#notifySubmissionWaiters(key, {
      outcome: "done",
      coordinator: coordinatorId,
      answer,
    });
    this.#retryTakeoverWaiters([key]);
    return true;
  }

  /** Handles the gather request of a home that gained keys. */
  handleGather(request: GatherRequest): GatherReply {
    return this.#gatherHandler.handle(request);
  }

  /**
   * Waits, after this agent was marked as leaving, until the homes that gain
   * its keys have fetched its claims.
   */
  async waitForHandover(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.#isHandedOver()) {
      await new Promise((resolve) =>
        setTimeout(resolve, HANDOVER_POLL_INTERVAL_MS)
      );
    }
  }

  /** Stops the takeovers. */
  stop(): void {
    this.#takeover.stop();
  }

  #isHandedOver(): boolean {
    const { homes, zone } = this.#options;
    const epoch = this.#departureEpoch;
    if (epoch === undefined) {
      return true;
    }
    const set = homes.getHomeSet();
    const zoneHomes = set.getZoneHomes(zone);
    const newHomes = zoneHomes.length > 0 ? zoneHomes : set.getHomes();
    return newHomes.every((home) =>
      this.#gatherHandler.hasServedHome(home.id, epoch)
    );
  }

  #findRefusal(request: ClaimWaiter): "held_back" | "moved" | undefined {
    const { follower, homes, memberId } = this.#options;
    const { claim, coordinatorId } = request;
    if (!follower.canStartWork()) {
      return "held_back";
    }
    if (follower.view.getMember(coordinatorId) === undefined) {
      // An entry that this view doesn't contain yet has to send the claim
      // again; one that was removed can't be a coordinator any more.
      return claim.viewOffset > follower.view.offset ? "moved" : "held_back";
    }
    return homes.find(claim.key)?.id === memberId ? undefined : "moved";
  }

  #decide(request: ClaimWaiter): void {
    const { claim, coordinatorId, reply } = request;
    const decision = this.#table.claim(claim.key, claim.fingerprint, {
      coordinator: coordinatorId,
    });
    switch (decision.type) {
      case "granted":
      case "conflict":
      case "lost":
        reply({ outcome: decision.type, coordinator: "" });
        return;
      case "running": {
        const { coordinator } = decision;
        const isAdded = this.#submissionWaiters.add(request);
        reply({ outcome: isAdded ? "running" : "held_back", coordinator });
        return;
      }
      case "done": {
        const { coordinator, answer } = decision.claim;
        reply({ outcome: "done", coordinator, answer });
        return;
      }
      default:
        return decision satisfies never;
    }
  }

  #handleViewEvent(event: ViewEvent): void {
    const { homes, memberId } = this.#options;
    if (event.type === "removed" || event.type === "left") {
      const coordinator = event.member.id;
      for (const key of this.#table.markCoordinatorLost(coordinator)) {
        this.#notifySubmissionWaiters(key, { outcome: "lost", coordinator });
      }
    }
    const before = this.#homeSet;
    this.#homeSet = homes.getHomeSet();
    if (this.#homeSet !== before) {
      if (before.has(memberId) && !this.#homeSet.has(memberId)) {
        this.#departureEpoch = homes.epoch;
      }
      for (const key of this.#submissionWaiters.getKeys()) {
        if (homes.find(key)?.id !== memberId) {
          this.#notifySubmissionWaiters(key, {
            outcome: "moved",
            coordinator: "",
          });
        }
      }
      this.#retryTakeoverWaiters();
    }
  }

  #retryTakeoverWaiters(keys = this.#takeoverWaiters.getKeys()): void {
    for (const key of keys) {
      for (const waiter of this.#takeoverWaiters.remove(key)) {
        if (waiter.isStreamOpen()) {
          this.handleClaim(waiter);
        }
      }
    }
  }

  #notifySubmissionWaiters(key: string, reply: ClaimServiceReply): void {
    for (const waiter of this.#submissionWaiters.remove(key)) {
      waiter.reply(reply);
    }
  }
}
