import type { HomeSet } from "../../state/homes/mod.ts";

export interface HomeChangeOptions {
  /** Member id of the home that gains keys. */
  memberId: string;
  /** Availability zone of this home. */
  zone: string;
  /** Offset of the log record that changed the homes. */
  epoch: number;
  before: HomeSet;
  after: HomeSet;
}

/**
 * One change of the home set, from the viewpoint of a home that gains keys.
 * Each former home of gained keys is a source. Claims of its keys wait until
 * the source, or all members in its place, have reported the claims that they
 * know.
 */
export class HomeChange {
  readonly epoch: number;
  readonly #options: HomeChangeOptions;
  readonly #sources = new Map<string, "alive" | "gone">();
  readonly #heldUntil = new Map<string, number>();
  /**
   * Epoch at which all members have to answer in place of the sources that are
   * gone.
   */
  allMembersEpoch = 0;
  /**
   * Time until which a removed member may still grant claims or start tasks,
   * in milliseconds.
   */
  notBefore = -Infinity;
  /**
   * True when this process may have missed home changes, so that it must always
   * wait until `notBefore`.
   */
  hasMissedChanges = false;

  constructor(options: HomeChangeOptions) {
    this.#options = options;
    this.epoch = options.epoch;
    for (const id of findSources(options)) {
      this.#sources.set(id, "alive");
    }
  }

  /** Gets the ids of the sources that are still pending, by state. */
  getSourceIds(state: "alive" | "gone"): string[] {
    return [...this.#sources.keys()].filter((id) =>
      this.#sources.get(id) === state
    );
  }

  /** Returns whether the takeover from some source is still pending. */
  get isPending(): boolean {
    return this.#sources.size > 0;
  }

  /**
   * Marks a source as gone, so that all members have to answer in its place:
   * it departed, or doesn't know all claims of its keys itself.
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
   * Ends the wait for a source. If a time is given, the source's unknown keys
   * are held back until then.
   */
  removeSource(id: string, heldUntil?: number): void {
    this.#sources.delete(id);
    if (heldUntil !== undefined) {
      this.#heldUntil.set(id, heldUntil);
    }
  }

  /**
   * Removes the sources whose unknown keys need not be held back any more.
   * Returns whether any source remains whose keys are held back.
   */
  removeExpired(now: number): boolean {
    for (const [id, until] of this.#heldUntil) {
      if (until <= now) {
        this.#heldUntil.delete(id);
      }
    }
    return this.#heldUntil.size > 0;
  }

  /** Finds the pending source of a key. */
  findPendingSource(key: string): string | undefined {
    if (this.#sources.size === 0) {
      return undefined;
    }
    const id = this.#findFormerHome(key);
    return id !== undefined && this.#sources.has(id) ? id : undefined;
  }

  /** Returns whether a key, if it is unknown, is held back. */
  isHeldBack(key: string): boolean {
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
 * Finds the ids of the homes that may have lost keys to this one. Returns one
 * empty id when there was no home before.
 */
function findSources(options: HomeChangeOptions): string[] {
  const { memberId, zone, before, after } = options;
  if (!after.has(memberId)) {
    return [];
  }
  const formerHomes = before.getHomes();
  if (formerHomes.length === 0) {
    return [""];
  }
  const isNew = !before.has(memberId);
  const isNewZone = !formerHomes.some((home) => home.zone === zone);
  const zones = new Set(after.getHomes().map((home) => home.zone));
  return formerHomes.filter((home) => {
    if (home.id === memberId) {
      return false;
    }
    // Rendezvous hashing moves keys only to a home or zone that was added, or
    // away from one that was removed.
    const isGone = home.zone === zone && !after.has(home.id);
    const losesKeys = isNew && (isNewZone || home.zone === zone);
    return isGone || losesKeys || !zones.has(home.zone);
  }).map((home) => home.id);
}
