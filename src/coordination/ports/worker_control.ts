import type { Result } from "neverthrow";
import type { DispatchError } from "../../state/errors/mod.ts";
import type { LeaseRenewal } from "./lease_renewal.ts";
import type { LeaseReport } from "./lease_report.ts";
import type { WorkerReply } from "./worker_reply.ts";
import type { StartRunOrder } from "./start_run_order.ts";
import type { StopRunOrder } from "./stop_run_order.ts";

/**
 * Orders to the worker beside an agent. An error of kind `upstream_unreachable`
 * means that no worker listens; after any other error the order may have been
 * carried out, or may be carried out later.
 */
export interface WorkerControl {
  startRun(order: StartRunOrder): Promise<Result<WorkerReply, DispatchError>>;
  stopRun(order: StopRunOrder): Promise<Result<WorkerReply, DispatchError>>;
  renewLease(
    renewal: LeaseRenewal,
  ): Promise<Result<WorkerReply | LeaseReport, DispatchError>>;
}
