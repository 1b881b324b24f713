export { AgentPool } from "./agent_pool.ts";
export { ClaimClient } from "./claim_client.ts";
export { JobCoordinator } from "./job_coordinator.ts";
export type { JobOutcome } from "./job_outcome.ts";
export type { Submission } from "./submission.ts";
export type { TaskAnswer } from "./task_answer.ts";
export { TaskDispatcher } from "./task_dispatcher.ts";
export type { TaskFailure } from "./task_failure.ts";
export type { TaskSpec } from "./task_spec.ts";
