import type { Heartbeat } from "../messages/mod.ts";
import type { LogFollower } from "./log_follower.ts";

/** Maximum number of records relayed in one heartbeat. */
const MAX_RELAYED_RECORDS = 200;

/**
 * Largest view age that a heartbeat can carry, in milliseconds. It also stands
 * for a larger or an unknown age.
 */
const MAX_VIEW_AGE_MS = 0xffffffff;

/**
 * Sends and receives the heartbeats of one stream. Each heartbeat echoes the
 * last sequence number that its sender has received. The peer therefore created
 * a heartbeat after the local time at which the echoed one was sent, which
 * gives a lower bound for the time of its contents without a shared clock.
 */
export class Heartbeats {
  readonly #follower: LogFollower;
  readonly #sentAt = new Map<number, number>();
  #sequence = 0;
  #peerSequence = 0;
  #peerViewOffset = -1;
  #acknowledgedSequence = 0;
  #lastReceivedAt: number;

  constructor(follower: LogFollower) {
    this.#follower = follower;
    this.#lastReceivedAt = follower.getTime();
  }

  /**
   * Gets the log offset of the peer's view as last reported. Returns -1 until
   * the first heartbeat has arrived.
   */
  get peerViewOffset(): number {
    return this.#peerViewOffset;
  }

  /** Gets the sequence number of the last heartbeat that was sent. */
  get sequence(): number {
    return this.#sequence;
  }

  /**
   * Gets the sequence number of the last own heartbeat that the peer has
   * received.
   */
  get acknowledgedSequence(): number {
    return this.#acknowledgedSequence;
  }

  /** Gets the time since the peer's last heartbeat, in milliseconds. */
  getHeartbeatAgeMs(): number {
    return this.#follower.getTime() - this.#lastReceivedAt;
  }

  /**
   * Creates the next heartbeat to send.
   * @param queued - Number of tasks to report: queued ones from an entry,
   * running ones from an agent.
   * @param clock - Logical time of the sender's timeline.
   */
  create(queued: number, clock: number): Heartbeat {
    const now = this.#follower.getTime();
    this.#sequence++;
    this.#sentAt.set(this.#sequence, now);
    const records = this.#peerViewOffset < 0
      ? []
      : this.#follower.getRecordsAfter(
        this.#peerViewOffset,
        MAX_RELAYED_RECORDS,
      ) ??
        [];
    return {
      sequence: this.#sequence,
      echo: this.#peerSequence,
      viewOffset: this.#follower.view.offset,
      viewAgeMs: Math.min(
        Math.ceil(this.#follower.getViewAgeMs()),
        MAX_VIEW_AGE_MS,
      ),
      outageReports: this.#follower.outageReports.getReports(now),
      records,
      queued,
      clock,
    };
  }

  /**
   * Applies the records, the view age and the outage reports of a received
   * heartbeat.
   */
  receive(heartbeat: Heartbeat): void {
    this.#lastReceivedAt = this.#follower.getTime();
    this.#peerSequence = Math.max(this.#peerSequence, heartbeat.sequence);
    this.#peerViewOffset = Math.max(this.#peerViewOffset, heartbeat.viewOffset);
    this.#acknowledgedSequence = Math.max(
      this.#acknowledgedSequence,
      heartbeat.echo,
    );
    this.#follower.applyRecords(heartbeat.records);
    const sentAt = this.#sentAt.get(heartbeat.echo);
    if (sentAt === undefined) {
      return;
    }
    for (const sequence of this.#sentAt.keys()) {
      if (sequence < heartbeat.echo) {
        this.#sentAt.delete(sequence);
      }
    }
    const isAgeKnown = heartbeat.viewAgeMs < MAX_VIEW_AGE_MS;
    if (isAgeKnown && this.#follower.view.offset >= heartbeat.viewOffset) {
      this.#follower.advanceFreshness(sentAt - heartbeat.viewAgeMs);
    }
    this.#follower.outageReports.mergeReports(heartbeat.outageReports, sentAt);
  }
}
