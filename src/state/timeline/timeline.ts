import type { TimelineEvent } from "./timeline_event.ts";

/** Number of events that one process keeps by default. */
const MAX_EVENTS = 20_000;

export interface TimelineOptions {
  /** Largest number of events that are kept. */
  maxEvents?: number;
  /** Called for each recorded event, for example to count it. */
  onRecord?: (event: TimelineEvent) => void;
}

/**
 * A ring buffer of a process's events, stamped with a Lamport clock. Every
 * message between processes carries the clock, so events of different processes
 * can be merged in causal order.
 */
export class Timeline {
  readonly #memberId: string;
  readonly #maxEvents: number;
  readonly #onRecord: ((event: TimelineEvent) => void) | undefined;
  readonly #events: TimelineEvent[] = [];
  #recordedCount = 0;
  #clock = 0;

  constructor(memberId: string, options: TimelineOptions = {}) {
    this.#memberId = memberId;
    this.#maxEvents = options.maxEvents ?? MAX_EVENTS;
    this.#onRecord = options.onRecord;
  }

  /** Advances the clock and returns its value for an outgoing message. */
  advanceClock(): number {
    return ++this.#clock;
  }

  /** Advances the clock past the value that a received message carries. */
  mergeClock(clock: number): void {
    this.#clock = Math.max(this.#clock, clock) + 1;
  }

  /**
   * Records an event.
   * @param type - Name of the event in snake case.
   * @param fields - Submission, task and attempt that the event is about, and
   * details.
   */
  record(
    type: string,
    fields: Pick<TimelineEvent, "key" | "index" | "attempt" | "detail"> = {},
  ): void {
    const event = {
      clock: ++this.#clock,
      timeMs: Date.now(),
      memberId: this.#memberId,
      type,
      ...fields,
    };
    this.#events[this.#recordedCount % this.#maxEvents] = event;
    this.#recordedCount++;
    this.#onRecord?.(event);
  }

  /** Gets the kept events, oldest first. */
  getEvents(options: { key?: string } = {}): TimelineEvent[] {
    const start = this.#recordedCount > this.#maxEvents
      ? this.#recordedCount % this.#maxEvents
      : 0;
    const ordered = [
      ...this.#events.slice(start),
      ...this.#events.slice(0, start),
    ];
    return options.key === undefined
      ? ordered
      : ordered.filter((event) => event.key === options.key);
  }
}
