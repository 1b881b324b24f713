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
 * Interval at which a leaving home looks whether its keys were taken over, in
 * milliseconds.
 */
const CHECK_INTERVAL_MS = 50;

export interface ClaimServiceOptions {
  follower: LogFollower;
  homes: HomeFinder;
  /** Id of this agent's member. */
  memberId: string;
  /** Availability zone of this agent. */
  zone: string;
  peers: Pick<PeerClient, "gather">;
  departures: DepartureHistory;
  /**
   * Gets each key that has a started task at this agent, with its coordinator.
   */
  getStartedKeys: () => Map<string, string>;
  table?: ClaimTable<StoredAnswer>;
}

/**
 * The home side of idempotent submission: grants each key to one coordinator
 * and keeps its answer.
 */
export class ClaimService {
  readonly #options: ClaimServiceOptions;
  readonly #table: ClaimTable<StoredAnswer>;
  readonly #gatherHandler: GatherHandler;
  readonly #takeover: Takeover;
  /** Requests for keys that another coordinator runs. */
  readonly #watchers = new ClaimWaiters();
  /** Requests for unknown keys that wait until the key is taken over. */
  readonly #waiters = new ClaimWaiters();
  #set: HomeSet;
  /** Epoch at which this agent left the home set to stop. */
  #leftEpoch: number | undefined;

  constructor(options: ClaimServiceOptions) {
    this.#options = options;
    this.#table = options.table ??
      new ClaimTable({ getAnswerSizeBytes: getAnswerSizeBytes });
    this.#gatherHandler = new GatherHandler({
      ...options,
      table: this.#table,
      isCompleteSince: (epoch) => this.#takeover.isCompleteSince(epoch),
    });
    this.#takeover = new Takeover({
      ...options,
      table: this.#table,
      gatherHandler: this.#gatherHandler,
      onProgress: () => this.#retryWaiters(),
    });
    this.#set = options.homes.getHomeSet();
    options.follower.addListener((event) => this.#handleViewEvent(event));
  }

  /** Gets the number of claims that this agent remembers. */
  get size(): number {
    return this.#table.size;
  }

  /**
   * Handles a claim. It is replied to once, and again with the final reply
   * after `running`.
   */
  handleClaim(request: ClaimWaiter): void {
    const { claim, reply } = request;
    for (const key of this.#table.removeExpired()) {
      this.#notify(key, { outcome: "moved", coordinator: "" });
    }
    const refusal = this.#findRefusal(request);
    if (refusal !== undefined) {
      reply({ outcome: refusal, coordinator: "" });
      return;
    }
    const known = this.#table.get(claim.key);
    if (known?.state !== "done") {
      const obstacle = this.#takeover.getBlockReason(claim.key);
      const isHeld = known === undefined &&
        (obstacle === "held" || this.#table.isFull);
      if (obstacle === "waiting" ? !this.#waiters.add(request) : isHeld) {
        reply({ outcome: "held_back", coordinator: "" });
      }
      if (obstacle === "waiting" || isHeld) {
        return;
      }
    }
    this.#decide(request);
  }

  /**
   * Stores a final answer, or releases the claim. Returns false when this agent
   * isn't the key's home.
   */
  handleComplete(complete: CompleteRequest, coordinatorId: string): boolean {
    const { homes, memberId, follower } = this.#options;
    const { key, fingerprint, answer } = complete;
    // The claims of a removed coordinator were given up as lost.
    const isMember = follower.view.getMember(coordinatorId) !== undefined;
    if (homes.find(key)?.id !== memberId || !isMember) {
      return false;
    }
    if (answer === undefined) {
      this.#table.release(key, coordinatorId);
      this.#takeover.recordRelease(key, coordinatorId);
      // Whoever waits asks again. That also ends requests of the coordinator
      // itself on broken streams.
      const moved = { outcome: "moved", coordinator: "" } as const;
      this.#notify(key, moved);
      this.#waiters.remove(key).forEach((waiter) => waiter.reply(moved));
      return true;
    }
    this.#table.complete(key, fingerprint, {
      coordinator: coordinatorId,
      answer,
    });
    this.#notify(key, { outcome: "done", coordinator: coordinatorId, answer });
    this.#retryWaiters([key]);
    return true;
  }

  /** Handles the gather call of a home that gained keys. */
  handleGather(request: GatherRequest): GatherReply {
    return this.#gatherHandler.handle(request);
  }

  /**
   * Waits, after this agent was marked as leaving, until the homes that gain
   * its keys have got its claims.
   */
  async waitForHandover(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.#isHandedOver()) {
      await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
    }
  }

  /** Stops the takeovers. */
  stop(): void {
    this.#takeover.stop();
  }

  #isHandedOver(): boolean {
    const { homes, zone } = this.#options;
    const epoch = this.#leftEpoch;
    if (epoch === undefined) {
      return true;
    }
    const set = homes.getHomeSet();
    const zoneHomes = set.getZoneHomes(zone);
    const gaining = zoneHomes.length > 0 ? zoneHomes : set.getHomes();
    return gaining.every((home) =>
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
      // An entry that this view doesn't hold yet asks again; one that was
      // removed coordinates nothing.
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
        const isAdded = this.#watchers.add(request);
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
        this.#notify(key, { outcome: "lost", coordinator });
      }
    }
    const before = this.#set;
    this.#set = homes.getHomeSet();
    if (this.#set !== before) {
      if (before.has(memberId) && !this.#set.has(memberId)) {
        this.#leftEpoch = homes.epoch;
      }
      for (const key of this.#watchers.getKeys()) {
        if (homes.find(key)?.id !== memberId) {
          this.#notify(key, { outcome: "moved", coordinator: "" });
        }
      }
      this.#retryWaiters();
    }
  }

  #retryWaiters(keys = this.#waiters.getKeys()): void {
    for (const key of keys) {
      for (const waiter of this.#waiters.remove(key)) {
        if (waiter.isStreamOpen()) {
          this.handleClaim(waiter);
        }
      }
    }
  }

  #notify(key: string, reply: ClaimServiceReply): void {
    for (const watcher of this.#watchers.remove(key)) {
      watcher.reply(reply);
    }
  }
}
