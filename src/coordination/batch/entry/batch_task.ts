import type { BatchStep, PlacedTask } from "../../../state/batch/mod.ts";
import type { AgentStream } from "./agent_stream.ts";
import type { TaskState } from "./task_state.ts";

/** The state of one task of a job at the entry that coordinates the job. */
export interface BatchTask {
  /** Name of the task at the workers, unique across jobs. */
  readonly name: string;
  readonly step: BatchStep;
  readonly stepNumber: number;
  readonly index: number;
  /** Number of the latest run; 0 before the first one. */
  run: number;
  state: TaskState;
  /** Stream on which the latest run was ordered. */
  stream: AgentStream | undefined;
  /** Where the latest run was placed; undefined before the first one. */
  placed: PlacedTask | undefined;
  /** When the latest run was ordered, on the monotonic clock. */
  sentAt: number;
  /**
   * How the latest ended run ended: its outcome, or for a lost one what excludes
   * that it is still executing; undefined before the first end.
   */
  lastEnd: string | undefined;
  failures: number;
  /** Number of agents that have declined the task. */
  declines: number;
  /** Whether its agent may decline the latest run. */
  canBeDeclined: boolean;
  /** Agents at which a run failed, was declined, returned, stopped or lost. */
  readonly avoidedAgents: Set<string>;
  /** Those of them at which its latest run was declined. */
  readonly declinedAgents: Set<string>;
}
