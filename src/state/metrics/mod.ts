export { Metrics } from "./metrics.ts";
