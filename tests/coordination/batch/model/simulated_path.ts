/** One direction between two simulated processes. */
import type { TestRandom } from "../../../lib/test_random.ts";
import type { SimulatedProcess } from "./simulated_process.ts";
import type { SimulatedTime } from "./simulated_time.ts";

/** Bounds of the delay of a message, in microseconds. */
const DELAY_US = { min: 200, max: 3_000 } as const;

/** Longest time from a repair until messages arrive again, in milliseconds. */
const MAX_REPAIR_DELAY_MS = 250;

interface Message {
  stream: object;
  handle: () => void;
  getProcess: () => SimulatedProcess | undefined;
}

export class SimulatedPath {
  readonly #time: SimulatedTime;
  readonly #random: TestRandom;
  /** Arrival of the last message of each stream. */
  readonly #lastArrivalMs = new Map<object, number>();
  #waiting: Message[] = [];
  #isCut = false;

  constructor(time: SimulatedTime, random: TestRandom) {
    this.#time = time;
    this.#random = random;
  }

  get isCut(): boolean {
    return this.#isCut;
  }

  /** Sends a message of a stream; it arrives after the earlier ones of it. */
  send(
    stream: object,
    handle: () => void,
    getProcess: () => SimulatedProcess | undefined,
  ): void {
    const message = { stream, handle, getProcess };
    if (this.#isCut) {
      this.#waiting.push(message);
    } else {
      this.#deliver(message, 0);
    }
  }

  setCut(isCut: boolean): void {
    this.#isCut = isCut;
    if (isCut) {
      return;
    }
    const repairDelaysMs = new Map<object, number>();
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const message of waiting) {
      const delayMs = repairDelaysMs.get(message.stream) ??
        this.#random.getInt(0, MAX_REPAIR_DELAY_MS);
      repairDelaysMs.set(message.stream, delayMs);
      this.#deliver(message, delayMs);
    }
  }

  #deliver({ stream, handle, getProcess }: Message, extraMs: number): void {
    const now = this.#time.nowMs;
    const delayMs = extraMs +
      this.#random.getInt(DELAY_US.min, DELAY_US.max) / 1_000;
    const atMs = Math.max(this.#lastArrivalMs.get(stream) ?? 0, now + delayMs);
    this.#lastArrivalMs.set(stream, atMs);
    this.#time.schedule(atMs - now, handle, { getProcess });
  }
}
