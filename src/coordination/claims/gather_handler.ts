import type { ClaimTable } from "../../state/claims/mod.ts";
import type { HomeFinder } from "../../state/homes/mod.ts";
import type { LogFollower } from "../follower/mod.ts";
import type {
  GatherReply,
  GatherRequest,
  KnownClaim,
  StoredAnswer,
} from "../messages/mod.ts";

/** Maximum number of claims in one page of a reply. */
const MAX_PAGE_CLAIMS = 2_000;

/**
 * Size of the stored answers at which a page of a reply ends, in bytes. Keeps
 * the time for a page far below the call's time limit.
 */
const MAX_PAGE_BYTES = 4 * 1_048_576;

interface IndexedKey {
  readonly key: string;
  /** Member id of the coordinator, if the key comes from a start record. */
  readonly startCoordinator?: string;
}

export interface GatherHandlerOptions {
  memberId: string;
  follower: LogFollower;
  homes: HomeFinder;
  table: ClaimTable<StoredAnswer>;
  /**
   * Gets the idempotency keys that have a started task at this member, each
   * with the member id of the coordinator.
   */
  getStartedKeys?: () => Map<string, string>;
  /**
   * Returns whether this member's own takeovers were complete at every home
   * change since an epoch.
   */
  isCompleteSince?: (epoch: number) => boolean;
}

/**
 * Answers the gather requests of homes that gained keys with the claims that
 * this member knows. The home of a key is the agent that stores its claim; the
 * epoch is the log offset of the last record that may have changed the homes.
 *
 * The keys are indexed by home once per epoch, so that hundreds of homes that
 * gather at the same time cost a single scan. The index need not be updated
 * within an epoch: once the view has reached the epoch, new claims of a home's
 * keys are granted by that home itself.
 */
export class GatherHandler {
  readonly #options: GatherHandlerOptions;
  readonly #servedEpochs = new Map<string, number>();
  #keysByHome = new Map<string, IndexedKey[]>();
  #indexEpoch = -1;

  constructor(options: GatherHandlerOptions) {
    this.#options = options;
  }

  /** Returns one page of the claims of a home's keys. */
  handle(request: GatherRequest): GatherReply {
    const { follower, homes, isCompleteSince = () => true } = this.#options;
    const { epoch } = homes;
    if (follower.view.offset < request.epoch) {
      return { ready: false, claims: [], epoch, isComplete: false, next: 0 };
    }
    const keys = this.#getIndex().get(request.home) ?? [];
    const claims: KnownClaim[] = [];
    let position = request.position;
    let answerBytes = 0;
    while (
      position < keys.length && claims.length < MAX_PAGE_CLAIMS &&
      answerBytes < MAX_PAGE_BYTES
    ) {
      const claim = this.#createClaim(keys[position] as IndexedKey);
      if (claim !== undefined) {
        claims.push(claim);
        answerBytes += claim.answer?.body.length ?? 0;
      }
      position++;
    }
    const next = position < keys.length ? position : 0;
    if (next === 0) {
      this.#servedEpochs.set(request.home, epoch);
    }
    const isComplete = isCompleteSince(request.since);
    return { ready: true, claims, epoch, isComplete, next };
  }

  /** Returns whether a home got all pages at an epoch or later. */
  hasServedHome(homeId: string, epoch: number): boolean {
    return (this.#servedEpochs.get(homeId) ?? -1) >= epoch;
  }

  #getIndex(): Map<string, IndexedKey[]> {
    const { homes } = this.#options;
    if (this.#indexEpoch === homes.epoch) {
      return this.#keysByHome;
    }
    this.#indexEpoch = homes.epoch;
    this.#keysByHome = this.#createIndex();
    for (const homeId of this.#servedEpochs.keys()) {
      if (!homes.getHomeSet().has(homeId)) {
        this.#servedEpochs.delete(homeId);
      }
    }
    return this.#keysByHome;
  }

  #createIndex(): Map<string, IndexedKey[]> {
    const { homes, table, follower, memberId } = this.#options;
    const { getStartedKeys = () => new Map<string, string>() } = this.#options;
    const keysByHome = new Map<string, IndexedKey[]>();
    const addKey = (item: IndexedKey, homeId: string | undefined) => {
      const keys = keysByHome.get(homeId ?? "") ?? [];
      keys.push(item);
      keysByHome.set(homeId ?? "", keys);
    };
    table.removeExpired();
    for (const { key } of table.getAll()) {
      const homeId = homes.find(key)?.id;
      if (homeId !== memberId) {
        addKey({ key }, homeId);
      }
    }
    for (const [key, coordinator] of getStartedKeys()) {
      // A live coordinator reports its claims itself.
      if (follower.view.getMember(coordinator) === undefined) {
        addKey({ key, startCoordinator: coordinator }, homes.find(key)?.id);
      }
    }
    return keysByHome;
  }

  #createClaim(item: IndexedKey): KnownClaim | undefined {
    const { key, startCoordinator } = item;
    if (startCoordinator !== undefined) {
      return {
        key,
        fingerprint: "",
        coordinator: startCoordinator,
        state: "lost",
        fromStartRecord: true,
      };
    }
    const claim = this.#options.table.get(key);
    if (claim === undefined) {
      return undefined;
    }
    const { fingerprint, coordinator, state, answer } = claim;
    return {
      key,
      fingerprint,
      coordinator,
      state,
      answer,
      fromStartRecord: false,
    };
  }
}
