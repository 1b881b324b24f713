export type { BatchAnswer } from "./batch_answer.ts";
export { BatchEntry } from "./batch_entry.ts";
export { EntryDrain } from "./entry_drain.ts";
