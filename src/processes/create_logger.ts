import { Logger } from "tslog";
import type { ProcessSettings } from "../state/process_settings/mod.ts";

const LOG_LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/**
 * Creates the logger of a process. It writes JSON lines to the standard output.
 */
export function createLogger(
  settings: ProcessSettings,
): Logger<Record<string, unknown>> {
  return new Logger({
    type: "json",
    name: settings.name,
    minLevel: LOG_LEVELS[settings.logLevel],
    // Looking up the source position of each line costs more than writing it.
    hideLogPositionForProduction: true,
  });
}
