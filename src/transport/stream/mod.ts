export { StreamClient } from "./stream_client.ts";
export { StreamServer } from "./stream_server.ts";
