export type { StartRecord } from "./start_record.ts";
export { StartRecords } from "./start_records.ts";
