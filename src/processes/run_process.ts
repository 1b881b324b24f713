import { hasher } from "../state/hashing/mod.ts";
import { createProcessContext } from "./create_process_context.ts";
import type { ProcessContext } from "./process_context.ts";
import { readProcessSettings } from "./read_process_settings.ts";

/** Exit code for a failed start, for example because a port is in use. */
const EXIT_START_FAILED = 1;

/** Exit code for a missing or invalid settings file. */
const EXIT_INVALID_SETTINGS = 2;

interface RunnableProcess {
  start(): Promise<void>;
  stop(): Promise<void>;
}

export interface RunProcessOptions {
  role: "entry" | "agent";
  /** Path of the settings file. */
  settingsPath: string;
  createProcess: (context: ProcessContext) => RunnableProcess;
}

/**
 * Runs an entry or an agent until SIGTERM or SIGINT, then stops it gracefully.
 */
export async function runProcess(options: RunProcessOptions): Promise<void> {
  const settings = readProcessSettings(options.settingsPath);
  if (settings.isErr()) {
    console.error(
      `invalid settings in ${options.settingsPath}: ${settings.error.message}`,
    );
    process.exit(EXIT_INVALID_SETTINGS);
  }
  await hasher.compiled;
  const context = createProcessContext(settings.value, options.role);
  const runnable = options.createProcess(context);
  let isStopping = false;
  const stop = async () => {
    if (!isStopping) {
      isStopping = true;
      await runnable.stop();
      process.exit(0);
    }
  };
  process.on("SIGTERM", () => void stop());
  process.on("SIGINT", () => void stop());
  process.on("unhandledRejection", (reason) => {
    context.logger.error("unhandled rejection", { reason: String(reason) });
  });
  try {
    await runnable.start();
  } catch (error) {
    console.error(
      `${settings.value.name} can't start: ${(error as Error).message}`,
    );
    process.exit(EXIT_START_FAILED);
  }
}
