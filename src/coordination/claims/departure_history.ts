import type { MemberState } from "../../state/view/mod.ts";
import type { LogFollower } from "../follower/mod.ts";

/**
 * The idempotency window: older departures concern no claim that is still
 * remembered.
 */
const WINDOW_MS = 600_000;

interface Departure {
  readonly member: MemberState;
  readonly type: "removed" | "left";
  readonly time: number;
}

export interface DepartureHistoryOptions {
  follower: LogFollower;
  windowMs?: number;
}

/**
 * The members that went away within the idempotency window. It is kept by the
 * process, since a home needs to know of departures before its own
 * announcement.
 *
 * Clean departures count as well: a process that has stopped remembers neither
 * its claims nor its starts.
 */
export class DepartureHistory {
  readonly #follower: LogFollower;
  readonly #windowMs: number;
  readonly #startedAt: number;
  readonly #departures = new Map<string, Departure>();

  constructor(options: DepartureHistoryOptions) {
    this.#follower = options.follower;
    this.#windowMs = options.windowMs ?? WINDOW_MS;
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

  /** Gets the time at which this process learned that a member went away. */
  getDepartureTime(memberId: string): number | undefined {
    return this.#departures.get(memberId)?.time;
  }

  /** Gets the time of the last departure of an agent. */
  getLastAgentDepartureTime(): number {
    return this.#getLastTime("agent");
  }

  /**
   * May an entry have been removed after a time? True as well when this process
   * can't know.
   */
  canHaveRemovedEntry(since: number): boolean {
    if (this.#startedAt > since) {
      return true;
    }
    return [...this.#departures.values()].some(({ member, type, time }) =>
      member.role === "entry" && type === "removed" && time >= since
    );
  }

  /**
   * Gets the time until which the unknown keys of a home can't be told from
   * fresh ones: an entry, the home and a further agent went away, so all three
   * places that knew a claim may be lost. Undefined when the members that are
   * left know all claims.
   * @param homeId - The home before; empty when there was none.
   * @param options - `isGone`: did this home go away itself, or hadn't it
   * completed its own takeover? `epoch`: members that were announced up to it
   * have told what they know.
   */
  getHoldEndTime(
    homeId: string,
    options: { isGone: boolean; epoch: number },
  ): number | undefined {
    const { isGone, epoch } = options;
    this.#removeExpired();
    if (isGone && !this.#isPastKnown()) {
      return this.#startedAt + this.#windowMs;
    }
    const lostHomes = isGone
      ? [this.#getProcess(homeId)]
      : this.#getLostHomes();
    const lostStarts = this.#getLostStarts(epoch);
    const isHeld = this.#getLastTime("entry") > -Infinity &&
      (homeId === "" ||
        lostHomes.some((home) => lostStarts.some((id) => id !== home)));
    if (!isHeld) {
      return undefined;
    }
    // A claim was granted and completed while its coordinator and its home were
    // both there.
    const homeTime = this.getDepartureTime(homeId) ??
      this.#getLastTime("agent");
    return Math.min(this.#getLastTime("entry"), homeTime) + this.#windowMs;
  }

  /**
   * Gets the id of a member's process. One process may have gone several times,
   * under several ids.
   */
  #getProcess(memberId: string): string {
    return this.#departures.get(memberId)?.member.processId ?? memberId;
  }

  /**
   * Gets the processes of the agents that didn't leave cleanly, which means
   * handing their claims over.
   */
  #getLostHomes(): string[] {
    return [...this.#departures.values()]
      .filter(({ member, type }) =>
        member.role === "agent" && type === "removed"
      )
      .map(({ member }) => this.#getProcess(member.id));
  }

  /** Gets the processes of agents whose start records are lost. */
  #getLostStarts(epoch: number): string[] {
    return [...this.#departures.values()]
      .map(({ member }) => member)
      .filter((member) =>
        member.role === "agent" && !this.#hasReturned(member, epoch)
      )
      .map((member) => this.#getProcess(member.id));
  }

  /**
   * Has the process of an agent come back as another member? It has kept its
   * start records.
   */
  #hasReturned(member: MemberState, epoch: number): boolean {
    const { processId } = member;
    return processId !== undefined &&
      this.#follower.view.getMembers("agent").some((other) =>
        other.processId === processId && other.announcedAt <= epoch
      );
  }

  /**
   * Has this process seen every departure of the window? A snapshot doesn't
   * tell about earlier ones.
   */
  #isPastKnown(): boolean {
    return this.#follower.getTime() - this.#startedAt >= this.#windowMs ||
      this.#follower.getRecordsAfter(0, 1) !== undefined;
  }

  #getLastTime(role: "entry" | "agent"): number {
    let last = -Infinity;
    for (const { member, time } of this.#departures.values()) {
      if (member.role === role) {
        last = Math.max(last, time);
      }
    }
    return last;
  }

  /** Forgets old departures. They are kept in the order of their times. */
  #removeExpired(): void {
    const limit = this.#follower.getTime() - this.#windowMs;
    for (const [id, { time }] of this.#departures) {
      if (time > limit) {
        return;
      }
      this.#departures.delete(id);
    }
  }
}
