import type { Heartbeat } from "../messages/mod.ts";
import type { LogFollower } from "./log_follower.ts";

/** Records relayed in one heartbeat. */
const MAX_RECORDS = 200;

/**
 * Largest age that a heartbeat can state; a larger one, or none, is stated as
 * this.
 */
const MAX_AGE_MS = 0xffffffff;

/**
 * The heartbeats of one stream. The echo of the own sequence dates what the
 * peer states: the peer made the message after it had received the echoed
 * heartbeat, hence after the local time when that one was sent.
 */
export class Heartbeats {
  readonly #follower: LogFollower;
  readonly #sentAt = new Map<number, number>();
  #sequence = 0;
  #peerSequence = 0;
  #peerOffset = -1;
  #peerEcho = 0;
  #receivedAt: number;

  constructor(follower: LogFollower) {
    this.#follower = follower;
    this.#receivedAt = follower.getTime();
  }

  /**
   * Gets the offset of the peer's view as last reported; -1 before the first
   * heartbeat.
   */
  get peerOffset(): number {
    return this.#peerOffset;
  }

  /** Gets the sequence of the last heartbeat that was sent. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Gets the last own sequence that the peer has received. */
  get acknowledgedSequence(): number {
    return this.#peerEcho;
  }

  /** Gets the time without a heartbeat from the peer, in milliseconds. */
  getSilenceMs(): number {
    return this.#follower.getTime() - this.#receivedAt;
  }

  /** Creates the next heartbeat to send. */
  create(queued: number, clock: number): Heartbeat {
    const now = this.#follower.getTime();
    this.#sequence++;
    this.#sentAt.set(this.#sequence, now);
    const records = this.#peerOffset < 0
      ? []
      : this.#follower.getRecordsAfter(this.#peerOffset, MAX_RECORDS) ?? [];
    return {
      sequence: this.#sequence,
      echo: this.#peerSequence,
      viewOffset: this.#follower.view.offset,
      viewAgeMs: Math.min(Math.ceil(this.#follower.getViewAgeMs()), MAX_AGE_MS),
      outageReports: this.#follower.outages.getReports(now),
      records,
      queued,
      clock,
    };
  }

  /** Takes records, proof and reports from a received heartbeat. */
  receive(heartbeat: Heartbeat): void {
    this.#receivedAt = this.#follower.getTime();
    this.#peerSequence = Math.max(this.#peerSequence, heartbeat.sequence);
    this.#peerOffset = Math.max(this.#peerOffset, heartbeat.viewOffset);
    this.#peerEcho = Math.max(this.#peerEcho, heartbeat.echo);
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
    const hasProof = heartbeat.viewAgeMs < MAX_AGE_MS;
    if (hasProof && this.#follower.view.offset >= heartbeat.viewOffset) {
      this.#follower.advanceFreshness(sentAt - heartbeat.viewAgeMs);
    }
    this.#follower.outages.mergeReports(heartbeat.outageReports, sentAt);
  }
}
