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
 * Interval at which a takeover checks which members still have to be called, in
 * milliseconds.
 */
const POLL_INTERVAL_MS = 100;

export interface TakeoverOptions {
  /** Member id of this home. */
  memberId: string;
  /** Availability zone of this home. */
  zone: string;
  follower: LogFollower;
  homes: HomeFinder;
  peers: Pick<PeerClient, "gather">;
  departureHistory: DepartureHistory;
  table: ClaimTable<StoredAnswer>;
  /**
   * Gives this member's own reply, since it may have start records of keys
   * that it gains.
   */
  gatherHandler: Pick<GatherHandler, "handle">;
  /** Called when claims that waited for a takeover can be decided. */
  onProgress: () => void;
}

/**
 * Takes over the claims of the keys that this home gains when the home set
 * changes. A former home that is alive is the only member asked. When it is
 * gone, or hadn't completed its own takeover, all members are asked. Their
 * replies are used as soon as they are complete or, if an entry was removed as
 * well, once the view age limit has passed since the removal.
 *
 * Each change of the home set is tracked separately, but a member's reply
 * counts for all changes up to the epoch of the reply. Many changes at the
 * same time therefore cost one call per member.
 */
export class Takeover {
  readonly #options: TakeoverOptions;
  readonly #gatherClient: GatherClient;
  readonly #staleClaims: KnownClaim[] = [];
  readonly #releasedKeys = new Map<string, string>();
  #changes: HomeChange[] = [];
  #homeSet: HomeSet;
  #viewOffset: number;
  #lastIncompleteEpoch = -1;
  #isRunning = false;
  #isStopped = false;

  constructor(options: TakeoverOptions) {
    this.#options = options;
    this.#homeSet = options.homes.getHomeSet();
    this.#viewOffset = options.follower.view.offset;
    this.#gatherClient = new GatherClient({
      ...options,
      onReply: (memberId) => this.#completeAliveSource(memberId),
    });
    options.follower.addListener((event) => this.#handleViewEvent(event));
  }

  /** Returns whether the takeover from some former home is still pending. */
  get isPending(): boolean {
    return this.#changes.some((change) => change.isPending);
  }

  /**
   * Gets the reason why a key that this home doesn't know can't be granted:
   * `waiting` for a takeover, or `held` back for a time. Returns undefined when
   * the key can be granted.
   */
  getBlockReason(key: string): "waiting" | "held" | undefined {
    this.#updateChanges();
    if (
      this.#changes.some((change) =>
        change.findPendingSource(key) !== undefined
      )
    ) {
      return "waiting";
    }
    return this.#changes.some((change) => change.isHeldBack(key))
      ? "held"
      : undefined;
  }

  /**
   * Returns whether this home's takeovers were complete at every home change
   * since an epoch.
   */
  isCompleteSince(epoch: number): boolean {
    this.#updateChanges();
    return epoch > this.#lastIncompleteEpoch;
  }

  /**
   * Records that a coordinator released a key, so that a gather reply from
   * before the release doesn't restore the claim.
   */
  recordRelease(key: string, coordinator: string): void {
    if (this.isPending) {
      this.#releasedKeys.set(key, coordinator);
    }
  }

  /** Stops the takeovers. */
  stop(): void {
    this.#isStopped = true;
  }

  #handleViewEvent(event: ViewEvent): void {
    this.#updateChanges();
    if (event.type === "removed" || event.type === "left") {
      this.#handleDeparture(event.member, event.type);
    }
  }

  /**
   * Removes the changes that are complete, and adds one if the home set has
   * changed. Events alone aren't enough to detect that: the view may also be
   * replaced by a snapshot, without events.
   */
  #updateChanges(): void {
    const { homes, follower } = this.#options;
    const after = homes.getHomeSet();
    const now = follower.getTime();
    const hasMissedRecords =
      follower.getRecordsAfter(this.#viewOffset, 1) === undefined;
    this.#viewOffset = follower.view.offset;
    this.#changes = this.#changes.filter((change) =>
      change.removeExpired(now) || change.isPending
    );
    if (after === this.#homeSet || this.#isStopped) {
      return;
    }
    const { epoch } = homes;
    const before = this.#homeSet;
    this.#homeSet = after;
    if (this.#changes.length > 0) {
      this.#lastIncompleteEpoch = epoch;
    }
    const change = new HomeChange({ ...this.#options, epoch, before, after });
    if (hasMissedRecords) {
      // The view was replaced by a snapshot, so there may have been other homes
      // in between.
      const notBefore = now + VIEW_LIMITS.maxViewAgeMs;
      change.hasMissedChanges = true;
      change.getSourceIds("alive").forEach((id) =>
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
   * Removes from the table the claims from an earlier period in which this
   * agent was the home of a key: only the later homes know their state.
   */
  #removeStale(change: HomeChange): void {
    const { table } = this.#options;
    for (const claim of table.getAll()) {
      if (claim.state !== "done" && change.findPendingSource(claim.key)) {
        this.#staleClaims.push({ ...claim, fromStartRecord: false });
        table.remove(claim.key);
      }
    }
  }

  /**
   * Handles the departure of a member that hadn't answered yet. It may have
   * left claims or start records at members that answered before. After the
   * departure of an entry all members have to answer again, and after a removal
   * the wait for the view age limit begins again.
   */
  #handleDeparture(member: MemberState, type: "removed" | "left"): void {
    const { homes, follower } = this.#options;
    for (const change of this.#changes) {
      if (
        change.getSourceIds("gone").length > 0 &&
        this.#isReplyMissing(member, change)
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
      this.#markGoneSources();
      this.#gatherClient.startCalls(this.#findMembersToCall());
      this.#completeGoneSources();
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
    this.#isRunning = false;
    this.#gatherClient.clear();
    this.#releasedKeys.clear();
    this.#staleClaims.length = 0;
  }

  /**
   * Marks the sources as gone that departed, or don't know all claims of their
   * keys.
   */
  #markGoneSources(): void {
    const { homes, follower, departureHistory } = this.#options;
    const { maxViewAgeMs } = VIEW_LIMITS;
    const { epoch } = homes;
    for (const change of this.#changes) {
      for (const id of change.getSourceIds("alive")) {
        const reply = this.#gatherClient.getReply(id);
        if (follower.view.getMember(id) === undefined) {
          // The time for the empty id is -Infinity if the former homes departed
          // before this process could see it.
          const time = id === ""
            ? departureHistory.getLastAgentDepartureTime()
            : departureHistory.getDepartureTime(id) ?? follower.getTime();
          change.markSourceGone(id, { epoch, notBefore: time + maxViewAgeMs });
        } else if (
          reply !== undefined && reply.epoch >= change.epoch &&
          !reply.isComplete
        ) {
          const notBefore = departureHistory.getLastAgentDepartureTime() +
            maxViewAgeMs;
          change.markSourceGone(id, { epoch, notBefore });
        }
      }
    }
  }

  /**
   * Finds the members that still have to answer, each with the epoch of the
   * first change that it is asked about.
   */
  #findMembersToCall(): Map<string, number> {
    const epochsByMember = new Map<string, number>();
    const addMember = (id: string, change: HomeChange) => {
      if (!epochsByMember.has(id)) {
        epochsByMember.set(id, change.epoch);
      }
    };
    for (const change of this.#changes) {
      for (const id of change.getSourceIds("alive")) {
        if (!this.#gatherClient.hasReplied(id, change.epoch)) {
          addMember(id, change);
        }
      }
      if (change.getSourceIds("gone").length > 0) {
        for (const member of this.#getMembers()) {
          if (this.#isReplyMissing(member, change)) {
            addMember(member.id, change);
          }
        }
      }
    }
    return epochsByMember;
  }

  #getMembers(): MemberState[] {
    const { view } = this.#options.follower;
    return [...view.getMembers("entry"), ...view.getMembers("agent")];
  }

  /**
   * Returns whether a member still has to answer before the takeover from the
   * gone sources of a change can complete.
   */
  #isReplyMissing(member: MemberState, change: HomeChange): boolean {
    return member.id !== this.#options.memberId &&
      member.announcedAt <= change.allMembersEpoch &&
      !this.#gatherClient.hasReplied(member.id, change.allMembersEpoch);
  }

  /** Completes the takeover from a source that is alive and has answered. */
  #completeAliveSource(id: string): void {
    const reply = this.#gatherClient.getReply(id) as GatherReply;
    let hasProgress = false;
    for (const change of this.#changes) {
      const hasAnswered = reply.isComplete && reply.epoch >= change.epoch &&
        change.getSourceIds("alive").includes(id);
      if (hasAnswered) {
        for (const claim of reply.claims) {
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
   * Completes the takeover from the sources that are gone, for each change to
   * which all members have answered.
   */
  #completeGoneSources(): void {
    const { follower, departureHistory } = this.#options;
    const members = this.#getMembers();
    for (const change of this.#changes) {
      const gone = change.getSourceIds("gone");
      const isComplete = gone.length > 0 && this.#isFenced(change) &&
        members.every((member) => !this.#isReplyMissing(member, change));
      if (isComplete) {
        this.#mergeReplies(change, new Set(gone));
        for (const id of gone) {
          const isGone = follower.view.getMember(id) === undefined;
          const epoch = change.allMembersEpoch;
          const heldUntil = departureHistory.getHoldEndTime(id, {
            isGone,
            epoch,
          });
          change.removeSource(id, heldUntil);
        }
        this.#options.onProgress();
      }
    }
  }

  /**
   * Returns whether removed members can't grant claims or start tasks with any
   * effect any more. A removed agent with an old view can do so until the view
   * age limit, but only for an entry that still has a stream to it, and the
   * live entries closed theirs before they answered the gather request. So the
   * wait is needed only when an entry was removed as well, so recently that the
   * agent's view may not contain the removal yet.
   */
  #isFenced(change: HomeChange): boolean {
    const { follower, departureHistory } = this.#options;
    const now = follower.getTime();
    if (now >= change.notBefore) {
      return true;
    }
    const since = change.notBefore - 2 * VIEW_LIMITS.maxViewAgeMs;
    return !change.hasMissedChanges &&
      !departureHistory.hasPossibleEntryRemoval(since);
  }

  #mergeReplies(change: HomeChange, gone: Set<string>): void {
    const { homes, memberId, follower, gatherHandler } = this.#options;
    const { epoch } = homes;
    const ownReply = gatherHandler.handle({
      home: memberId,
      epoch,
      since: epoch,
      position: 0,
    });
    const known = new Map<string, KnownClaim[]>();
    const addClaims = (id: string, claims: readonly KnownClaim[]) => {
      const relevantClaims = claims.filter(({ key }) => {
        const source = change.findPendingSource(key);
        return source !== undefined && gone.has(source);
      });
      known.set(id, relevantClaims);
    };
    addClaims(memberId, [...this.#staleClaims, ...ownReply.claims]);
    for (const [id, reply] of this.#gatherClient.getReplies()) {
      addClaims(id, reply.claims);
    }
    for (const claim of selectClaims(known, follower.view)) {
      this.#mergeClaim(claim);
    }
  }

  #mergeClaim(claim: KnownClaim): void {
    const { table, follower } = this.#options;
    const { key, fingerprint, coordinator, answer } = claim;
    if (this.#releasedKeys.get(key) === coordinator) {
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
