import type { MemberState } from "../../state/view/mod.ts";
import type { LogFollower } from "../follower/mod.ts";

/**
 * Time that departures are kept, in milliseconds. Claims expire after the same
 * time, so older departures can't affect any claim that is still stored.
 */
const IDEMPOTENCY_WINDOW_MS = 600_000;

interface Departure {
  readonly member: MemberState;
  readonly type: "removed" | "left";
  /** Time at which this process learned of the departure. */
  readonly time: number;
}

export interface DepartureHistoryOptions {
  follower: LogFollower;
  windowMs?: number;
}

/**
 * Members that were removed or left within the idempotency window. The history
 * belongs to the process rather than to a membership, because a home needs to
 * know departures from before its own announcement.
 *
 * Clean departures are recorded as well: a stopped process has lost both its
 * claims and its start records.
 */
export class DepartureHistory {
  readonly #follower: LogFollower;
  readonly #windowMs: number;
  readonly #startedAt: number;
  readonly #departures = new Map<string, Departure>();

  constructor(options: DepartureHistoryOptions) {
    this.#follower = options.follower;
    this.#windowMs = options.windowMs ?? IDEMPOTENCY_WINDOW_MS;
    this.#startedAt = this.#follower.getTime();
    this.#follower.addListener((event) => {
      if (event.type === "removed" || event.type === "left") {
        const { member, type } = event;
        const time = this.#follower.getTime();
        this.#departures.set(member.id, { member, type, time });
        this.#removeExpired();
      }
    });
  }

  /** Gets the time at which this process learned of a member's departure. */
  getDepartureTime(memberId: string): number | undefined {
    return this.#departures.get(memberId)?.time;
  }

  /** Gets the time of the last departure of an agent, or -Infinity. */
  getLastAgentDepartureTime(): number {
    return this.#getLastDepartureTime("agent");
  }

  /**
   * Returns whether an entry may have been removed at or after a time. Also
   * returns true when that time lies before the start of this process.
   */
  hasPossibleEntryRemoval(since: number): boolean {
    if (this.#startedAt > since) {
      return true;
    }
    return [...this.#departures.values()].some(({ member, type, time }) =>
      member.role === "entry" && type === "removed" && time >= since
    );
  }

  /**
   * Gets the time until which unknown keys of a former home must be held back,
   * because they may have been claimed before: an entry, the home and another
   * agent departed, so all three members that knew a claim (its coordinator,
   * its home and an agent that started one of its tasks) may be lost. Returns
   * undefined when the remaining members know all claims.
   * @param homeId - Member id of the former home; empty when there was none.
   * @param options - `isGone`: true when the home itself departed, false when
   * it is live but hadn't completed its own takeover. `epoch`: members
   * announced up to this log offset have reported the claims that they know.
   */
  getHoldEndTime(
    homeId: string,
    options: { isGone: boolean; epoch: number },
  ): number | undefined {
    const { isGone, epoch } = options;
    this.#removeExpired();
    if (isGone && !this.#hasSeenAllDepartures()) {
      return this.#startedAt + this.#windowMs;
    }
    const lostHomeProcessIds = isGone
      ? [this.#getProcessId(homeId)]
      : this.#getRemovedAgentProcessIds();
    const lostStartRecordProcessIds = this.#getLostStartRecordProcessIds(epoch);
    const isHoldNeeded = this.#getLastDepartureTime("entry") > -Infinity &&
      (homeId === "" ||
        lostHomeProcessIds.some((homeProcessId) =>
          lostStartRecordProcessIds.some((id) => id !== homeProcessId)
        ));
    if (!isHoldNeeded) {
      return undefined;
    }
    // A claim can only have been granted and completed while both its
    // coordinator and its home were members.
    const homeDepartureTime = this.getDepartureTime(homeId) ??
      this.#getLastDepartureTime("agent");
    return Math.min(this.#getLastDepartureTime("entry"), homeDepartureTime) +
      this.#windowMs;
  }

  /**
   * Gets the process id of a departed member. One process may have departed
   * several times, under different member ids.
   */
  #getProcessId(memberId: string): string {
    return this.#departures.get(memberId)?.member.processId ?? memberId;
  }

  /**
   * Gets the process ids of the removed agents. Unlike agents that leave
   * cleanly, they didn't hand over their claims.
   */
  #getRemovedAgentProcessIds(): string[] {
    return [...this.#departures.values()]
      .filter(({ member, type }) =>
        member.role === "agent" && type === "removed"
      )
      .map(({ member }) => this.#getProcessId(member.id));
  }

  /** Gets the process ids of the agents whose start records are lost. */
  #getLostStartRecordProcessIds(epoch: number): string[] {
    return [...this.#departures.values()]
      .map(({ member }) => member)
      .filter((member) =>
        member.role === "agent" && !this.#hasReturned(member, epoch)
      )
      .map((member) => this.#getProcessId(member.id));
  }

  /**
   * Returns whether the process of a departed agent is a member again, under
   * another id. Such a process still has its start records.
   */
  #hasReturned(member: MemberState, epoch: number): boolean {
    const { processId } = member;
    return processId !== undefined &&
      this.#follower.view.getMembers("agent").some((other) =>
        other.processId === processId && other.announcedAt <= epoch
      );
  }

  /**
   * Returns whether this process has seen every departure of the window. A
   * snapshot doesn't contain the departures before it.
   */
  #hasSeenAllDepartures(): boolean {
    return this.#follower.getTime() - this.#startedAt >= this.#windowMs ||
      this.#follower.getRecordsAfter(0, 1) !== undefined;
  }

  #getLastDepartureTime(role: "entry" | "agent"): number {
    let last = -Infinity;
    for (const { member, time } of this.#departures.values()) {
      if (member.role === role) {
        last = Math.max(last, time);
      }
    }
    return last;
  }

  /** Removes expired departures. The map is in order of departure time. */
  #removeExpired(): void {
    const expiryTime = this.#follower.getTime() - this.#windowMs;
    for (const [id, { time }] of this.#departures) {
      if (time > expiryTime) {
        return;
      }
      this.#departures.delete(id);
    }
  }
}
