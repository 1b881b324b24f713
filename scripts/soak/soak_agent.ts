import type { WorkerStandIn } from "../../platform/stand_in/mod.ts";
import type { Relay } from "../lib/relay.ts";
import type { SoakProcess } from "./soak_process.ts";

/** An agent of the soak test, its worker, and the relays on its links. */
export interface SoakAgent {
  readonly process: SoakProcess;
  readonly zone: string;
  readonly worker: WorkerStandIn;
  /** Address of the agent to which its worker reports. */
  readonly reportAddress: string;
  /** Address of the agent for streams, which bypasses the relay. */
  readonly peerAddress: string;
  /** Relay between the entries and the agent. */
  readonly peerRelay: Relay;
  /** Relay between the agent and its worker. */
  readonly workerRelay: Relay;
  readonly storeRelay: Relay;
  readonly metricsPort: number;
}
