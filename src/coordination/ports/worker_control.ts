import type { Result } from "neverthrow";
import type { DispatchError } from "../../state/errors/mod.ts";
import type { LeaseRenewal } from "./lease_renewal.ts";
import type { LeaseReport } from "./lease_report.ts";
import type { WorkerReply } from "./worker_reply.ts";
import type { StartRunOrder } from "./start_run_order.ts";
import type { StopRunOrder } from "./stop_run_order.ts";

/**
 * Sends orders to the worker that belongs to an agent. An error of kind
 * `upstream_unreachable` means that no worker is listening. After any other
 * error, the order may have been executed or may be executed later.
 */
export interface WorkerControl {
  startRun(order: StartRunOrder): Promise<Result<WorkerReply, DispatchError>>;
  stopRun(order: StopRunOrder): Promise<Result<WorkerReply, DispatchError>>;
  renewLease(
    renewal: LeaseRenewal,
  ): Promise<Result<WorkerReply | LeaseReport, DispatchError>>;
}
