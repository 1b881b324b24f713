import type { HttpServerOptions } from "../transport/http/mod.ts";
import type { ProcessContext } from "./process_context.ts";
import { RefusalRecorder } from "./refusal_recorder.ts";

/** Creates the options that limit what clients make a process hold. */
export function createClientLimits(
  { settings, metrics, rateLimitedLogger }: ProcessContext,
): Pick<HttpServerOptions, "limits" | "onRefusal"> {
  const recorder = new RefusalRecorder({
    server: "http",
    metrics,
    log: {
      record: (event, fields = {}) =>
        rateLimitedLogger.writeLine("warn", event, fields),
    },
  });
  return {
    limits: {
      memoryBytes: settings.requestMemoryBytes,
      maxConnections: settings.maxClientConnections,
    },
    onRefusal: (cause, address) => recorder.record(cause, address),
  };
}
