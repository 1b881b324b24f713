export { MessageCounts } from "./message_counts.ts";
export { Metrics } from "./metrics.ts";
