import { spawnSync } from "node:child_process";
import { join } from "node:path";

/** Time after which a command is ended. */
const COMMAND_TIMEOUT_MS = 30_000;

/**
 * Runs a ctl command of a build.
 * @param dist - Folder of the build's compiled files.
 * @returns The standard output, or undefined when the command failed.
 */
export function runCtl(dist: string, args: string[]): string | undefined {
  const program = join(dist, "src/bin/ctl.js");
  const { status, stdout, stderr } = spawnSync(
    process.execPath,
    [program, ...args],
    { encoding: "utf8", timeout: COMMAND_TIMEOUT_MS },
  );
  if (status !== 0) {
    console.error(
      `ctl ${args.join(" ")} exited with status ${status}: ${stderr}`,
    );
    return undefined;
  }
  return stdout;
}
