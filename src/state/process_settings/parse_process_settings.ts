import { err, ok, type Result } from "neverthrow";
import {
  createError,
  createSchemaError,
  type DispatchError,
} from "../errors/mod.ts";
import { ProcessSettings } from "./process_settings.ts";

/**
 * Parses the text of the settings file of an entry or an agent.
 * @param text - JSON text.
 */
export function parseProcessSettings(
  text: string,
): Result<ProcessSettings, DispatchError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return err(
      createError("invalid_settings", `not JSON: ${(error as Error).message}`),
    );
  }
  const parsed = ProcessSettings.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : err(createSchemaError("invalid_settings", parsed.error));
}
