export { parseProcessSettings } from "./parse_process_settings.ts";
export { ProcessSettings } from "./process_settings.ts";
