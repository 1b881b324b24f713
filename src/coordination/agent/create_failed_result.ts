import type { ErrorKind } from "../../state/errors/mod.ts";
import type { TaskResult } from "./task_result.ts";

/** Creates the result of an attempt without an answer from the upstream. */
export function createFailedResult(
  errorKind: ErrorKind,
  message: string,
): TaskResult {
  return {
    errorKind,
    message,
    status: 0,
    body: new Uint8Array(),
    digest: "",
    runMs: 0,
  };
}
