import type { ChildProcess } from "node:child_process";

/** Time that a process may take to stop, in milliseconds. */
const STOP_TIMEOUT_MS = 30_000;

/** Stops a process gracefully, and kills it when that takes too long. */
export async function stopChild(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return;
  }
  const exited = new Promise<void>((resolve) =>
    child.once("exit", () => resolve())
  );
  child.kill("SIGTERM");
  const timer = setTimeout(() => child.kill("SIGKILL"), STOP_TIMEOUT_MS);
  await exited;
  clearTimeout(timer);
}
