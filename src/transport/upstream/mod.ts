export { HttpUpstreamClient } from "./http_upstream_client.ts";
