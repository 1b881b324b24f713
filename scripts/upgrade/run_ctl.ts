import { spawnSync } from "node:child_process";
import { join } from "node:path";

/** Time for one command, in milliseconds. */
const COMMAND_MS = 30_000;

/**
 * Runs a command of a build's ctl.
 * @param dist - Folder of the build's compiled files.
 * @returns The standard output, or undefined when the command failed.
 */
export function runCtl(dist: string, args: string[]): string | undefined {
  const program = join(dist, "src/bin/ctl.js");
  const { status, stdout, stderr } = spawnSync(
    process.execPath,
    [program, ...args],
    { encoding: "utf8", timeout: COMMAND_MS },
  );
  if (status !== 0) {
    console.error(`ctl ${args.join(" ")} ended with ${status}: ${stderr}`);
    return undefined;
  }
  return stdout;
}
