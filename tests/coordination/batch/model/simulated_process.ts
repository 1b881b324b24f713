/**
 * One life of a process of the model, from its start until it is ended. While it
 * is suspended, its timers and what arrives for it wait, and time goes on.
 */
import type { SimulatedEvent } from "./simulated_event.ts";

/** Time of the monotonic clock when the product begins to run. */
const START_UP_MS = 50;

type ProcessState = "running" | "suspended" | "ended";

export class SimulatedProcess {
  readonly name: string;
  readonly #startedAtMs: number;
  #state: ProcessState = "running";
  #waiting: SimulatedEvent[] = [];

  constructor(name: string, startedAtMs: number) {
    this.name = name;
    this.#startedAtMs = startedAtMs;
  }

  /** Gets the time of the monotonic clock, which begins with the process. */
  getClockMs(nowMs: number): number {
    return START_UP_MS + nowMs - this.#startedAtMs;
  }

  get state(): ProcessState {
    return this.#state;
  }

  suspend(): void {
    if (this.#state === "running") {
      this.#state = "suspended";
    }
  }

  /** Resumes the process, and returns the events that have waited for it. */
  resume(): SimulatedEvent[] {
    if (this.#state === "suspended") {
      this.#state = "running";
    }
    const waiting = this.#waiting;
    this.#waiting = [];
    return waiting;
  }

  /** Ends the process at once; nothing of it runs any more. */
  end(): void {
    this.#state = "ended";
    this.#waiting = [];
  }

  /** Keeps an event until the process is resumed. */
  buffer(event: SimulatedEvent): void {
    this.#waiting.push(event);
  }
}
