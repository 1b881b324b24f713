import type { GroupPlace } from "./group_place.ts";
import type { PlaceDecision } from "./place_decision.ts";

/** The agent chosen for a task, and the expected end of the task. */
export interface PlacedTask {
  readonly index: number;
  readonly agentId: string;
  /** Expected time until the end, in milliseconds. */
  readonly endMs: number;
  /** Expected time until the start, in milliseconds. */
  readonly startMs: number;
  /** Whether the worker is away from the data of the task. */
  readonly isFar: boolean;
  /** Decision between a place near the data and another one, if there was one. */
  readonly place: PlaceDecision | undefined;
  /** Where the group of the task was placed, if its step shares a rack. */
  readonly group?: GroupPlace;
}
