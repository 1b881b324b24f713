export { BatchAgent } from "./batch_agent.ts";
export type { WorkerDescription } from "./worker_description.ts";
