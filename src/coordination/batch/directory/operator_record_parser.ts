import type { Result } from "neverthrow";
import type { DispatchError } from "../../../state/errors/mod.ts";
import type { OperatorChange } from "../../../state/batch/mod.ts";

/** Parses a record of the operator; the platform defines its format. */
export type OperatorRecordParser = (
  key: string,
  value: string | undefined,
) => Result<OperatorChange, DispatchError>;
