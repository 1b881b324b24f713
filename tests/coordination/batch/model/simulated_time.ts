/**
 * The time of the model. Events run one after the other, each with all of its
 * promise reactions, so that the process of a running event is known. Nothing else
 * of this process runs meanwhile, which would see the simulated clocks.
 */
import type { SimulatedEvent } from "./simulated_event.ts";
import type { SimulatedProcess } from "./simulated_process.ts";

/** Most events of a model, far more than one has that comes to an end. */
const MAX_EVENTS = 1_000_000;

/** Time at which each model starts; clocks of real processes are not 0 either. */
const START_MS = 1_000_000;

interface ScheduleOptions {
  kind?: SimulatedEvent["kind"];
  /** Process of the event; the one of the current event by default. */
  getProcess?: () => SimulatedProcess | undefined;
}

export class SimulatedTime {
  readonly startMs = START_MS;
  #nowMs = START_MS;
  #sequence = 0;
  /** Binary heap by time and sequence. */
  readonly #heap: SimulatedEvent[] = [];
  #process: SimulatedProcess | undefined;
  #eventCount = 0;

  get nowMs(): number {
    return this.#nowMs;
  }

  /** Gets the process of the current event; undefined if it belongs to none. */
  get process(): SimulatedProcess | undefined {
    return this.#process;
  }

  /** Gets the time of the monotonic clock of the current process. */
  get clockMs(): number {
    return this.#process?.getClockMs(this.#nowMs) ?? this.#nowMs;
  }

  get eventCount(): number {
    return this.#eventCount;
  }

  schedule(
    delayMs: number,
    handle: () => void,
    options: ScheduleOptions = {},
  ): SimulatedEvent {
    const process = this.#process;
    const event: SimulatedEvent = {
      atMs: this.#nowMs + Math.max(0, delayMs),
      sequence: this.#sequence++,
      kind: options.kind ?? "input",
      handle,
      getProcess: options.getProcess ?? (() => process),
      isCancelled: false,
    };
    this.#insert(event);
    return event;
  }

  /** Resumes a process. Its events that are due run in the given order. */
  resume(process: SimulatedProcess, first: SimulatedEvent["kind"]): void {
    const waiting = process.resume();
    const ordered = [
      ...waiting.filter(({ kind }) => kind === first),
      ...waiting.filter(({ kind }) => kind !== first),
    ];
    for (const event of ordered) {
      event.atMs = this.#nowMs;
      event.sequence = this.#sequence++;
      this.#insert(event);
    }
  }

  /** Runs the events until a time, or until the condition holds. */
  async advance(
    untilMs: number,
    isFinished: () => boolean = () => false,
  ): Promise<void> {
    while (!isFinished()) {
      const event = this.#heap[0];
      if (event === undefined || event.atMs > untilMs) {
        this.#nowMs = Math.max(this.#nowMs, untilMs);
        return;
      }
      this.#removeFirst();
      await this.#run(event);
    }
  }

  async #run(event: SimulatedEvent): Promise<void> {
    if (event.isCancelled) {
      return;
    }
    this.#nowMs = Math.max(this.#nowMs, event.atMs);
    const process = event.getProcess();
    switch (process?.state) {
      case "ended":
        return;
      case "suspended":
        process.buffer(event);
        return;
      case "running":
      case undefined:
        break;
      default:
        process?.state satisfies undefined;
    }
    this.#process = process;
    event.handle();
    await runPromiseReactions();
    this.#process = undefined;
    this.#eventCount++;
    if (this.#eventCount > MAX_EVENTS) {
      throw new Error("the model does not come to an end");
    }
  }

  #insert(event: SimulatedEvent): void {
    const heap = this.#heap;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!precedes(event, heap[parent] as SimulatedEvent)) {
        break;
      }
      heap[index] = heap[parent] as SimulatedEvent;
      index = parent;
    }
    heap[index] = event;
  }

  #removeFirst(): void {
    const heap = this.#heap;
    const last = heap.pop() as SimulatedEvent;
    if (heap.length === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) {
        break;
      }
      const right = heap[child + 1];
      if (
        right !== undefined && precedes(right, heap[child] as SimulatedEvent)
      ) {
        child++;
      }
      if (!precedes(heap[child] as SimulatedEvent, last)) {
        break;
      }
      heap[index] = heap[child] as SimulatedEvent;
      index = child;
    }
    heap[index] = last;
  }
}

function precedes(event: SimulatedEvent, other: SimulatedEvent): boolean {
  return event.atMs < other.atMs ||
    (event.atMs === other.atMs && event.sequence < other.sequence);
}

/** Runs all pending promise reactions: the queue of ticks comes after them. */
function runPromiseReactions(): Promise<void> {
  return new Promise((resolve) => process.nextTick(resolve));
}
