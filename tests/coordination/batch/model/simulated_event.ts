import type { SimulatedProcess } from "./simulated_process.ts";

/** Something that happens at a simulated time. */
export interface SimulatedEvent {
  atMs: number;
  /** Orders the events of the same time. */
  sequence: number;
  readonly kind: "timer" | "input";
  readonly handle: () => void;
  /** Gets the process that the event belongs to; undefined if to none. */
  readonly getProcess: () => SimulatedProcess | undefined;
  isCancelled: boolean;
}
