export { formatBatchFrame } from "./format_batch_frame.ts";
export { parseBatchFrame } from "./parse_batch_frame.ts";
