export { StreamCaller } from "./stream_caller.ts";
export { StreamServer } from "./stream_server.ts";
