export { createError } from "./create_error.ts";
export { createSchemaError } from "./create_schema_error.ts";
export type { DispatchError } from "./dispatch_error.ts";
export type { ErrorResponse } from "./error_response.ts";
export { ERROR_RESPONSES } from "./error_responses.ts";
export type { ErrorKind } from "./error_kind.ts";
export { isErrorKind } from "./is_error_kind.ts";
export { parseJson } from "./parse_json.ts";
export type { TaskOutcome } from "./task_outcome.ts";
