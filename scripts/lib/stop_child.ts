import type { ChildProcess } from "node:child_process";

/** Time after which a process that has not stopped is killed. */
const STOP_TIMEOUT_MS = 30_000;

/** Stops a process with SIGTERM, and with SIGKILL after a timeout. */
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
