export { ConnectPeerCaller } from "./connect_peer_caller.ts";
export { PeerServer } from "./peer_server.ts";
