import type { Relay } from "../lib/relay.ts";
import type { SoakProcess } from "./soak_process.ts";

/** An entry of the soak test, and the relay on its link to the store. */
export interface SoakEntry {
  readonly process: SoakProcess;
  /** Address for clients; there is no relay in front of it. */
  readonly jobAddress: string;
  readonly readyAddress: string;
  readonly storeRelay: Relay;
  readonly metricsPort: number;
}
