import type { OperatorStateRequest } from "../../messages/mod.ts";

/** A peer from which the operator's state can be read. */
export interface OperatorStateSource {
  readonly name: string;
  requestOperatorState(request: OperatorStateRequest): void;
}
