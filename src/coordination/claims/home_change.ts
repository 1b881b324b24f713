import type { HomeSet } from "../../state/homes/mod.ts";

export interface HomeChangeOptions {
  /** Member id of the home that gains keys. */
  memberId: string;
  /** Availability zone of this home. */
  zone: string;
  /** Offset of the record that changed the homes. */
  epoch: number;
  before: HomeSet;
  after: HomeSet;
}

/**
 * One change of the home set, as a home that gains keys sees it. Each former
 * home of gained keys is a source; its keys wait until the source, or everybody
 * in its place, has told what it knows about them.
 */
export class HomeChange {
  readonly epoch: number;
  readonly #options: HomeChangeOptions;
  readonly #sources = new Map<string, "alive" | "gone">();
  readonly #heldUntil = new Map<string, number>();
  /**
   * Epoch at which everybody has to answer in place of the sources that are
   * gone.
   */
  allMembersEpoch = 0;
  /**
   * Time before which a removed member may still have granted claims or started
   * tasks.
   */
  notBefore = -Infinity;
  /**
   * True when this process missed how the homes changed, so it has to wait in
   * any case.
   */
  hasMissedChanges = false;

  constructor(options: HomeChangeOptions) {
    this.#options = options;
    this.epoch = options.epoch;
    for (const id of findSources(options)) {
      this.#sources.set(id, "alive");
    }
  }

  /** Gets the sources that were not taken over yet, in one of the two ways. */
  getSources(state: "alive" | "gone"): string[] {
    return [...this.#sources.keys()].filter((id) =>
      this.#sources.get(id) === state
    );
  }

  /** Are keys of some source still waiting? */
  get isPending(): boolean {
    return this.#sources.size > 0;
  }

  /**
   * Replaces a source by everybody: it went away, or it doesn't know all claims
   * of its keys itself.
   */
  markSourceGone(
    id: string,
    options: { epoch: number; notBefore: number },
  ): void {
    this.#sources.set(id, "gone");
    this.allMembersEpoch = Math.max(this.allMembersEpoch, options.epoch);
    this.notBefore = Math.max(this.notBefore, options.notBefore);
  }

  /**
   * Ends the wait for a source. Unknown keys of it are still held back until a
   * time, if one is given.
   */
  removeSource(id: string, heldUntil?: number): void {
    this.#sources.delete(id);
    if (heldUntil !== undefined) {
      this.#heldUntil.set(id, heldUntil);
    }
  }

  /**
   * Forgets the sources whose unknown keys are fresh again. Returns false when
   * none is held back.
   */
  removeExpired(now: number): boolean {
    for (const [id, until] of this.#heldUntil) {
      if (until <= now) {
        this.#heldUntil.delete(id);
      }
    }
    return this.#heldUntil.size > 0;
  }

  /** Finds the source whose takeover a key still waits for. */
  findPendingSource(key: string): string | undefined {
    if (this.#sources.size === 0) {
      return undefined;
    }
    const id = this.#findFormerHome(key);
    return id !== undefined && this.#sources.has(id) ? id : undefined;
  }

  /** Is a key held back, if it is unknown? */
  isHeld(key: string): boolean {
    if (this.#heldUntil.size === 0) {
      return false;
    }
    const id = this.#findFormerHome(key);
    return id !== undefined && this.#heldUntil.has(id);
  }

  #findFormerHome(key: string): string | undefined {
    const { before, after, memberId } = this.#options;
    if (after.find(key)?.id !== memberId) {
      return undefined;
    }
    const id = before.find(key)?.id ?? "";
    return id === memberId ? undefined : id;
  }
}

/**
 * Finds the homes that may have lost keys to this one; "" stands for the homes
 * of an empty set.
 */
function findSources(options: HomeChangeOptions): string[] {
  const { memberId, zone, before, after } = options;
  if (!after.has(memberId)) {
    return [];
  }
  const former = before.getHomes();
  if (former.length === 0) {
    return [""];
  }
  const isNew = !before.has(memberId);
  const isNewZone = !former.some((home) => home.zone === zone);
  const zones = new Set(after.getHomes().map((home) => home.zone));
  return former.filter((home) => {
    if (home.id === memberId) {
      return false;
    }
    // Rendezvous hashing moves keys only to a home or zone that is new, or away
    // from one that is gone.
    const isGone = home.zone === zone && !after.has(home.id);
    const isTakenFrom = isNew && (isNewZone || home.zone === zone);
    return isGone || isTakenFrom || !zones.has(home.zone);
  }).map((home) => home.id);
}
