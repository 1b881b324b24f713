export { ConnectPeerClient } from "./connect_peer_client.ts";
export { PeerServer } from "./peer_server.ts";
