import type { TimelineEvent } from "./timeline_event.ts";

/** Events that one process keeps. */
const MAX_EVENTS = 20_000;

export interface TimelineOptions {
  /** Largest number of events that are kept. */
  maxEvents?: number;
  /** Called for each event, such as to count it. */
  onRecord?: (event: TimelineEvent) => void;
}

/**
 * The bounded buffer of a process's events, stamped with a Lamport clock. Every
 * message between processes carries the clock, so events of different processes
 * can be merged in an order that respects causes.
 */
export class Timeline {
  readonly #memberId: string;
  readonly #maxEvents: number;
  readonly #onRecord: ((event: TimelineEvent) => void) | undefined;
  readonly #events: TimelineEvent[] = [];
  #next = 0;
  #clock = 0;

  constructor(memberId: string, options: TimelineOptions = {}) {
    this.#memberId = memberId;
    this.#maxEvents = options.maxEvents ?? MAX_EVENTS;
    this.#onRecord = options.onRecord;
  }

  /** Gets the clock to put on an outgoing message. */
  advanceClock(): number {
    return ++this.#clock;
  }

  /** Moves the clock past the one of a received message. */
  mergeClock(clock: number): void {
    this.#clock = Math.max(this.#clock, clock) + 1;
  }

  /**
   * Records an event.
   * @param type - Name of the event in snake case.
   * @param fields - What the event is about.
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
    this.#events[this.#next % this.#maxEvents] = event;
    this.#next++;
    this.#onRecord?.(event);
  }

  /** Gets the kept events, oldest first. */
  getEvents(options: { key?: string } = {}): TimelineEvent[] {
    const start = this.#next > this.#maxEvents
      ? this.#next % this.#maxEvents
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
