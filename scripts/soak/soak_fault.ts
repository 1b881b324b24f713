import type { StoreFaults, WorkerFaults } from "../../platform/stand_in/mod.ts";
import type { LinkAction } from "./link_action.ts";
import type { ResendDisruption } from "./resend_disruption.ts";

/** One fault of a plan. A target is the index of an entry or an agent. */
export type SoakFault =
  & { readonly atMs: number; readonly forMs: number }
  & (
    | {
      readonly kind: "kill" | "stop" | "pause" | "hup";
      readonly role: "entry" | "agent";
      readonly target: number;
    }
    | { readonly kind: "kill_all" }
    | {
      readonly kind: "link";
      readonly link: "peer" | "worker" | "agent_store" | "entry_store";
      readonly action: LinkAction;
      readonly target: number;
    }
    | { readonly kind: "store"; readonly faults: StoreFaults }
    | { readonly kind: "store_history" }
    | {
      readonly kind: "worker";
      readonly target: number;
      readonly faults: WorkerFaults;
    }
    | {
      readonly kind: "worker_crash";
      readonly target: number;
      readonly keepsId: boolean;
    }
    | { readonly kind: "worker_drain"; readonly target: number }
    /** Another worker follows while the streams to its agent are held. */
    | {
      readonly kind: "worker_replaced";
      readonly target: number;
      readonly keepsId: boolean;
      readonly workerKind: string;
    }
    | { readonly kind: "zone_out"; readonly zone: string }
    | { readonly kind: "config" }
    | { readonly kind: "burst"; readonly factor: number }
    | {
      readonly kind: "resend";
      readonly disruption: ResendDisruption;
      /** Entry that gets the jobs first. */
      readonly target: number;
      /** Time from the first submissions to the disruption, in milliseconds. */
      readonly afterMs: number;
      /** Whether the clients' first connections are reset. */
      readonly isReset: boolean;
    }
  );
