import type { Result } from "neverthrow";
import type { DispatchError } from "../../../state/errors/mod.ts";
import type { OperatorChange } from "../../../state/batch/mod.ts";

/** Parses a record of the operator, in a format that the platform defines. */
export type OperatorRecordParser = (
  key: string,
  value: string | undefined,
) => Result<OperatorChange, DispatchError>;
