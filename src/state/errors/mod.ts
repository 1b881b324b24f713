export { createError } from "./create_error.ts";
export { createSchemaError } from "./create_schema_error.ts";
export type { DispatchError } from "./dispatch_error.ts";
export type { ErrorAnswer } from "./error_answer.ts";
export { ERROR_ANSWERS } from "./error_answers.ts";
export type { ErrorKind } from "./error_kind.ts";
export { isErrorKind } from "./is_error_kind.ts";
export { parseJson } from "./parse_json.ts";
export type { TaskOutcome } from "./task_outcome.ts";
