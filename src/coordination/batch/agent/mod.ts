export { BatchEntrySession } from "./batch_entry_session.ts";
export { getStatusIntervalMs } from "./get_status_interval_ms.ts";
export type { LocalRun } from "./local_run.ts";
export type { RunOwner } from "./run_owner.ts";
export { WorkerRunner } from "./worker_runner.ts";
export { BatchAgent } from "./batch_agent.ts";
export type { WorkerDescription } from "./worker_description.ts";
