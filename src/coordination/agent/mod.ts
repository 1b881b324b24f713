export { CapacityControl } from "./capacity_control.ts";
export { CreditLedger } from "./credit_ledger.ts";
export { EntrySession } from "./entry_session.ts";
export { SessionTable } from "./session_table.ts";
export { StartGate } from "./start_gate.ts";
export { TaskExecutor } from "./task_executor.ts";
export type { TaskResult } from "./task_result.ts";
