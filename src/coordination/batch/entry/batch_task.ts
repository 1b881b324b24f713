import type { BatchStep } from "../../../state/batch/mod.ts";

/** The state of one task of a job at the entry that coordinates the job. */
export interface BatchTask {
  /** Name of the task at the workers, unique across jobs. */
  readonly name: string;
  readonly step: BatchStep;
  readonly stepNumber: number;
  readonly index: number;
  /** Number of the latest run; 0 before the first one. */
  run: number;
  /** `lost`: the agent was lost, and the run may still be executing. */
  state: "waiting" | "sent" | "lost" | "done";
  /** Agent of the latest run. */
  agentId: string | undefined;
  failures: number;
  /** Agents at which a run failed, was returned, stopped or lost. */
  readonly avoidedAgents: Set<string>;
}
