import { err, type Result } from "neverthrow";
import { readFileSync } from "node:fs";
import { createError, type DispatchError } from "../state/errors/mod.ts";
import {
  parseProcessSettings,
  type ProcessSettings,
} from "../state/process_settings/mod.ts";

/** Reads and checks a settings file. */
export function readProcessSettings(
  path: string,
): Result<ProcessSettings, DispatchError> {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    return err(
      createError("invalid_settings", (error as Error).message, { path }),
    );
  }
  return parseProcessSettings(text);
}
