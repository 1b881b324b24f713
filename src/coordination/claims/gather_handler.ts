import type { ClaimTable } from "../../state/claims/mod.ts";
import type { HomeFinder } from "../../state/homes/mod.ts";
import type { LogFollower } from "../follower/mod.ts";
import type {
  GatherReply,
  GatherRequest,
  KnownClaim,
  StoredAnswer,
} from "../messages/mod.ts";

/** Claims in one page of a reply. */
const MAX_PAGE_CLAIMS = 2_000;

/**
 * Answers in one page of a reply, in bytes, so that a page takes far less than
 * the call's time limit.
 */
const MAX_PAGE_BYTES = 4 * 1_048_576;

interface IndexedKey {
  readonly key: string;
  /** The coordinator, when a start record told about the key. */
  readonly startedFor?: string;
}

export interface GatherHandlerOptions {
  memberId: string;
  follower: LogFollower;
  homes: HomeFinder;
  table: ClaimTable<StoredAnswer>;
  /** Gets each key that has a started task here, with its coordinator. */
  getStartedKeys?: () => Map<string, string>;
  /**
   * Were this member's own takeovers complete at every change of homes since an
   * epoch?
   */
  isCompleteSince?: (epoch: number) => boolean;
}

/**
 * Answers the gather calls of homes that gained keys. The keys are indexed by
 * home once for each epoch, so hundreds of homes that gather at one time cost
 * one scan together. That is enough: once the view has reached the epoch, new
 * claims of a home's keys come from that home itself.
 */
export class GatherHandler {
  readonly #options: GatherHandlerOptions;
  readonly #answered = new Map<string, number>();
  #index = new Map<string, IndexedKey[]>();
  #indexEpoch = -1;

  constructor(options: GatherHandlerOptions) {
    this.#options = options;
  }

  /** Handles a call. */
  handle(request: GatherRequest): GatherReply {
    const { follower, homes, isCompleteSince = () => true } = this.#options;
    const { epoch } = homes;
    if (follower.view.offset < request.epoch) {
      return { ready: false, claims: [], epoch, isComplete: false, next: 0 };
    }
    const keys = this.#getIndex().get(request.home) ?? [];
    const claims: KnownClaim[] = [];
    let position = request.position;
    let bytes = 0;
    while (
      position < keys.length && claims.length < MAX_PAGE_CLAIMS &&
      bytes < MAX_PAGE_BYTES
    ) {
      const claim = this.#createClaim(keys[position] as IndexedKey);
      if (claim !== undefined) {
        claims.push(claim);
        bytes += claim.answer?.body.length ?? 0;
      }
      position++;
    }
    const next = position < keys.length ? position : 0;
    if (next === 0) {
      this.#answered.set(request.home, epoch);
    }
    const isComplete = isCompleteSince(request.since);
    return { ready: true, claims, epoch, isComplete, next };
  }

  /** Has the home got the whole answer at an epoch or later? */
  hasServedHome(homeId: string, epoch: number): boolean {
    return (this.#answered.get(homeId) ?? -1) >= epoch;
  }

  #getIndex(): Map<string, IndexedKey[]> {
    const { homes } = this.#options;
    if (this.#indexEpoch === homes.epoch) {
      return this.#index;
    }
    this.#indexEpoch = homes.epoch;
    this.#index = this.#createIndex();
    for (const homeId of this.#answered.keys()) {
      if (!homes.getHomeSet().has(homeId)) {
        this.#answered.delete(homeId);
      }
    }
    return this.#index;
  }

  #createIndex(): Map<string, IndexedKey[]> {
    const { homes, table, follower, memberId } = this.#options;
    const { getStartedKeys = () => new Map<string, string>() } = this.#options;
    const index = new Map<string, IndexedKey[]>();
    const add = (item: IndexedKey, homeId: string | undefined) => {
      const keys = index.get(homeId ?? "") ?? [];
      keys.push(item);
      index.set(homeId ?? "", keys);
    };
    table.removeExpired();
    for (const { key } of table.getAll()) {
      const homeId = homes.find(key)?.id;
      if (homeId !== memberId) {
        add({ key }, homeId);
      }
    }
    for (const [key, coordinator] of getStartedKeys()) {
      // A live coordinator tells about its claims itself.
      if (follower.view.getMember(coordinator) === undefined) {
        add({ key, startedFor: coordinator }, homes.find(key)?.id);
      }
    }
    return index;
  }

  #createClaim(item: IndexedKey): KnownClaim | undefined {
    const { key, startedFor } = item;
    if (startedFor !== undefined) {
      return {
        key,
        fingerprint: "",
        coordinator: startedFor,
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
