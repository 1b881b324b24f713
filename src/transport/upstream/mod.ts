export { HttpUpstreamCaller } from "./http_upstream_caller.ts";
