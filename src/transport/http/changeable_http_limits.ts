import type { HttpLimits } from "./http_limits.ts";

/** Limits that may change while a server runs. */
export type ChangeableHttpLimits = Partial<
  Pick<
    HttpLimits,
    | "maxBodyBytes"
    | "maxHeaderBytes"
    | "headerTimeoutMs"
    | "bodyIdleTimeoutMs"
  >
>;
