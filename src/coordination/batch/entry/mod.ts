export type { AgentStream } from "./agent_stream.ts";
export type { BatchAnswer } from "./batch_answer.ts";
export { BatchEntry } from "./batch_entry.ts";
export { BatchJobRun } from "./batch_job_run.ts";
export { EntryDrain } from "./entry_drain.ts";
export { LoopDelayMonitor } from "./loop_delay_monitor.ts";
export { PlaceRecord } from "./place_record.ts";
export { WarmUpGate } from "./warm_up_gate.ts";
