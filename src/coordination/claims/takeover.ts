import type { ClaimTable } from "../../state/claims/mod.ts";
import type { HomeFinder, HomeSet } from "../../state/homes/mod.ts";
import type { MemberState, ViewEvent } from "../../state/view/mod.ts";
import { type LogFollower, VIEW_LIMITS } from "../follower/mod.ts";
import type { PeerClient } from "../ports/mod.ts";
import type { GatherReply, KnownClaim, StoredAnswer } from "../messages/mod.ts";
import type { DepartureHistory } from "./departure_history.ts";
import { GatherClient } from "./gather_client.ts";
import type { GatherHandler } from "./gather_handler.ts";
import { HomeChange } from "./home_change.ts";
import { selectClaims } from "./select_claims.ts";

/**
 * Interval at which members that haven't answered yet are asked again, in
 * milliseconds.
 */
const STEP_MS = 100;

export interface TakeoverOptions {
  /** Member id of this home. */
  memberId: string;
  zone: string;
  follower: LogFollower;
  homes: HomeFinder;
  peers: Pick<PeerClient, "gather">;
  departures: DepartureHistory;
  table: ClaimTable<StoredAnswer>;
  /** Answers for this member itself: it may hold start records. */
  gatherHandler: Pick<GatherHandler, "handle">;
  /** Called when keys that waited may be decided. */
  onProgress: () => void;
}

/**
 * Takes over the keys that this home gains when the homes change. A former home
 * that is alive is asked alone. When it is gone, every member is asked, and the
 * answers are used at once, or, when an entry was removed as well, once the
 * view age limit has passed since the removal. The same happens when the former
 * home hadn't completed its own takeover.
 *
 * Each change of the homes is tracked on its own, but a member's answer counts
 * for all changes up to the epoch of the answer, so that many changes together
 * cost one call for each member.
 */
export class Takeover {
  readonly #options: TakeoverOptions;
  readonly #calls: GatherClient;
  readonly #stale: KnownClaim[] = [];
  readonly #released = new Map<string, string>();
  #changes: HomeChange[] = [];
  #set: HomeSet;
  #offset: number;
  #lastIncompleteEpoch = -1;
  #isRunning = false;
  #isStopped = false;

  constructor(options: TakeoverOptions) {
    this.#options = options;
    this.#set = options.homes.getHomeSet();
    this.#offset = options.follower.view.offset;
    this.#calls = new GatherClient({
      ...options,
      onAnswer: (memberId) => this.#completeAlive(memberId),
    });
    options.follower.addListener((event) => this.#handleViewEvent(event));
  }

  /** Are keys of some former home still waiting? */
  get isPending(): boolean {
    return this.#changes.some((change) => change.isPending);
  }

  /** Gets what stands against granting a key that this home doesn't know. */
  getBlockReason(key: string): "waiting" | "held" | undefined {
    this.#refresh();
    if (
      this.#changes.some((change) =>
        change.findPendingSource(key) !== undefined
      )
    ) {
      return "waiting";
    }
    return this.#changes.some((change) => change.isHeld(key))
      ? "held"
      : undefined;
  }

  /**
   * Were this home's takeovers complete at every change of homes since an
   * epoch?
   */
  isCompleteSince(epoch: number): boolean {
    this.#refresh();
    return epoch > this.#lastIncompleteEpoch;
  }

  /**
   * Remembers that a coordinator released a key, so that an older answer
   * doesn't bring its claim back.
   */
  recordRelease(key: string, coordinator: string): void {
    if (this.isPending) {
      this.#released.set(key, coordinator);
    }
  }

  /** Stops asking. */
  stop(): void {
    this.#isStopped = true;
  }

  #handleViewEvent(event: ViewEvent): void {
    this.#refresh();
    if (event.type === "removed" || event.type === "left") {
      this.#handleDeparture(event.member, event.type);
    }
  }

  /**
   * Looks whether the homes have changed. The view may also jump to a snapshot,
   * without events.
   */
  #refresh(): void {
    const { homes, follower } = this.#options;
    const after = homes.getHomeSet();
    const now = follower.getTime();
    const isJump = follower.getRecordsAfter(this.#offset, 1) === undefined;
    this.#offset = follower.view.offset;
    this.#changes = this.#changes.filter((change) =>
      change.removeExpired(now) || change.isPending
    );
    if (after === this.#set || this.#isStopped) {
      return;
    }
    const { epoch } = homes;
    const before = this.#set;
    this.#set = after;
    if (this.#changes.length > 0) {
      this.#lastIncompleteEpoch = epoch;
    }
    const change = new HomeChange({ ...this.#options, epoch, before, after });
    if (isJump) {
      // The view has jumped to a snapshot, so there may have been other homes
      // in between.
      const notBefore = now + VIEW_LIMITS.maxViewAgeMs;
      change.hasMissedChanges = true;
      change.getSources("alive").forEach((id) =>
        change.markSourceGone(id, { epoch, notBefore })
      );
    }
    if (change.isPending) {
      this.#changes.push(change);
      this.#removeStale(change);
      void this.#run();
    }
  }

  /**
   * Takes out claims of an earlier time as home: only the home since then knows
   * what became of them.
   */
  #removeStale(change: HomeChange): void {
    const { table } = this.#options;
    for (const claim of table.getAll()) {
      if (claim.state !== "done" && change.findPendingSource(claim.key)) {
        this.#stale.push({ ...claim, fromStartRecord: false });
        table.remove(claim.key);
      }
    }
  }

  /**
   * A member that went away unasked may have left claims or starts at members
   * that answered before.
   */
  #handleDeparture(member: MemberState, type: "removed" | "left"): void {
    const { homes, follower } = this.#options;
    for (const change of this.#changes) {
      if (
        change.getSources("gone").length > 0 && this.#isMissing(member, change)
      ) {
        if (member.role === "entry") {
          change.allMembersEpoch = homes.epoch;
        }
        if (type === "removed") {
          change.notBefore = follower.getTime() + VIEW_LIMITS.maxViewAgeMs;
        }
      }
    }
  }

  async #run(): Promise<void> {
    if (this.#isRunning) {
      return;
    }
    this.#isRunning = true;
    while (this.isPending && !this.#isStopped) {
      this.#replaceGone();
      this.#calls.startCalls(this.#findMissing());
      this.#completeChanges();
      await new Promise((resolve) => setTimeout(resolve, STEP_MS));
    }
    this.#isRunning = false;
    this.#calls.clear();
    this.#released.clear();
    this.#stale.length = 0;
  }

  /**
   * Replaces the sources that went away, or don't know all their claims, by
   * everybody.
   */
  #replaceGone(): void {
    const { homes, follower, departures } = this.#options;
    const { maxViewAgeMs } = VIEW_LIMITS;
    const { epoch } = homes;
    for (const change of this.#changes) {
      for (const id of change.getSources("alive")) {
        const answer = this.#calls.getAnswer(id);
        if (follower.view.getMember(id) === undefined) {
          // Without a time, the homes before were lost before this process
          // could see it.
          const time = id === ""
            ? departures.getLastAgentDepartureTime()
            : departures.getDepartureTime(id) ?? follower.getTime();
          change.markSourceGone(id, { epoch, notBefore: time + maxViewAgeMs });
        } else if (
          answer !== undefined && answer.epoch >= change.epoch &&
          !answer.isComplete
        ) {
          const notBefore = departures.getLastAgentDepartureTime() +
            maxViewAgeMs;
          change.markSourceGone(id, { epoch, notBefore });
        }
      }
    }
  }

  /**
   * Finds the members that have to answer, with the first change that each is
   * asked about.
   */
  #findMissing(): Map<string, number> {
    const missing = new Map<string, number>();
    const add = (id: string, change: HomeChange) => {
      if (!missing.has(id)) {
        missing.set(id, change.epoch);
      }
    };
    for (const change of this.#changes) {
      for (const id of change.getSources("alive")) {
        if (!this.#calls.hasAnswered(id, change.epoch)) {
          add(id, change);
        }
      }
      if (change.getSources("gone").length > 0) {
        for (const member of this.#getMembers()) {
          if (this.#isMissing(member, change)) {
            add(member.id, change);
          }
        }
      }
    }
    return missing;
  }

  #getMembers(): MemberState[] {
    const { view } = this.#options.follower;
    return [...view.getMembers("entry"), ...view.getMembers("agent")];
  }

  /**
   * Must a member still answer before the sources of a change that are gone can
   * be replaced?
   */
  #isMissing(member: MemberState, change: HomeChange): boolean {
    return member.id !== this.#options.memberId &&
      member.announcedAt <= change.allMembersEpoch &&
      !this.#calls.hasAnswered(member.id, change.allMembersEpoch);
  }

  /** Takes over from a source that is alive. */
  #completeAlive(id: string): void {
    const answer = this.#calls.getAnswer(id) as GatherReply;
    let hasProgress = false;
    for (const change of this.#changes) {
      const isAnswered = answer.isComplete && answer.epoch >= change.epoch &&
        change.getSources("alive").includes(id);
      if (isAnswered) {
        for (const claim of answer.claims) {
          if (
            !claim.fromStartRecord && change.findPendingSource(claim.key) === id
          ) {
            this.#mergeClaim(claim);
          }
        }
        change.removeSource(id);
        hasProgress = true;
      }
    }
    if (hasProgress) {
      this.#options.onProgress();
    }
  }

  /**
   * Takes over the keys of sources that are gone, once everybody has answered.
   */
  #completeChanges(): void {
    const { follower, departures } = this.#options;
    const members = this.#getMembers();
    for (const change of this.#changes) {
      const gone = change.getSources("gone");
      const isComplete = gone.length > 0 && this.#isFenced(change) &&
        members.every((member) => !this.#isMissing(member, change));
      if (isComplete) {
        this.#mergeAnswers(change, new Set(gone));
        for (const id of gone) {
          const isGone = follower.view.getMember(id) === undefined;
          const epoch = change.allMembersEpoch;
          const until = departures.getHoldEndTime(id, { isGone, epoch });
          change.removeSource(id, until);
        }
        this.#options.onProgress();
      }
    }
  }

  /**
   * Can no removed member grant a claim or start a task any more that would
   * count? A removed agent with an old view can do so until the view age limit,
   * but only for an entry that still has a stream to it: the live entries have
   * closed theirs before they answered the gather. So the wait is needed only
   * when an entry was removed as well, so lately that the agent's view may not
   * hold it.
   */
  #isFenced(change: HomeChange): boolean {
    const { follower, departures } = this.#options;
    const now = follower.getTime();
    if (now >= change.notBefore) {
      return true;
    }
    const since = change.notBefore - 2 * VIEW_LIMITS.maxViewAgeMs;
    return !change.hasMissedChanges && !departures.canHaveRemovedEntry(since);
  }

  #mergeAnswers(change: HomeChange, gone: Set<string>): void {
    const { homes, memberId, follower, gatherHandler } = this.#options;
    const { epoch } = homes;
    const own = gatherHandler.handle({
      home: memberId,
      epoch,
      since: epoch,
      position: 0,
    });
    const known = new Map<string, KnownClaim[]>();
    const add = (id: string, claims: readonly KnownClaim[]) => {
      const concerned = claims.filter(({ key }) => {
        const source = change.findPendingSource(key);
        return source !== undefined && gone.has(source);
      });
      known.set(id, concerned);
    };
    add(memberId, [...this.#stale, ...own.claims]);
    for (const [id, answer] of this.#calls.getAnswers()) {
      add(id, answer.claims);
    }
    for (const claim of selectClaims(known, follower.view)) {
      this.#mergeClaim(claim);
    }
  }

  #mergeClaim(claim: KnownClaim): void {
    const { table, follower } = this.#options;
    const { key, fingerprint, coordinator, answer } = claim;
    if (this.#released.get(key) === coordinator) {
      return;
    }
    const isLive = follower.view.getMember(coordinator) !== undefined;
    const isRunning = claim.state === "running" && isLive;
    const state = claim.state === "done"
      ? "done"
      : isRunning
      ? "running"
      : "lost";
    table.merge({ key, fingerprint, coordinator, state, answer });
  }
}
