import type { BatchStep } from "../../../state/batch/mod.ts";

/** One task of a job, as its coordinator sees it. */
export interface BatchTask {
  /** Unique name of the task at the workers. */
  readonly name: string;
  readonly step: BatchStep;
  readonly stepNumber: number;
  readonly index: number;
  /** Number of the latest run; 0 before the first. */
  run: number;
  state: "waiting" | "sent" | "lost" | "done";
  /** Agent of the latest run. */
  agentId: string | undefined;
  failures: number;
  /** Agents at which a run did not end well. */
  readonly avoidedAgents: Set<string>;
}
