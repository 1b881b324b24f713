import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync } from "node:fs";
import { join } from "node:path";
import { SETTINGS_PATH_VARIABLE } from "../../platform/settings_path_variable.ts";
import { stopChild } from "../lib/stop_child.ts";

/** Default delay between the end of a process and its restart. */
const RESTART_DELAY_MS = 300;

export interface SoakProcessOptions {
  role: "entry" | "agent";
  name: string;
  /** Folder for the settings file and the log of the process. */
  folder: string;
  settings: Record<string, unknown>;
  /** Delay between its end and its restart, in milliseconds. */
  restartDelayMs?: number | undefined;
  /** Options of Node.js, such as the limit of the heap. */
  nodeOptions?: readonly string[] | undefined;
}

/**
 * An entry or agent process that is restarted whenever it ends, as the platform
 * does.
 */
export class SoakProcess {
  readonly name: string;
  /** Folder of the compiled files from which the next start runs. */
  distFolder = new URL("../..", import.meta.url).pathname;
  /** Delay between its end and its restart, in milliseconds. */
  restartDelayMs: number;
  readonly #options: SoakProcessOptions;
  #child: ChildProcess | undefined;
  #isStopped = false;

  constructor(options: SoakProcessOptions) {
    this.#options = options;
    this.name = options.name;
    this.restartDelayMs = options.restartDelayMs ?? RESTART_DELAY_MS;
    writeFileSync(this.#settingsPath, JSON.stringify(options.settings));
  }

  get #settingsPath(): string {
    return join(this.#options.folder, `${this.#options.name}.json`);
  }

  /** Gets the id of the running process; undefined before the start. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  start(): void {
    const { role, folder, nodeOptions = [] } = this.#options;
    const program = join(this.distFolder, `platform/${role}.js`);
    const log = createWriteStream(join(folder, `${this.name}.log`), {
      flags: "a",
    });
    const child = spawn(process.execPath, [...nodeOptions, program], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, [SETTINGS_PATH_VARIABLE]: this.#settingsPath },
    });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once("exit", () => {
      if (!this.#isStopped) {
        setTimeout(
          () => this.#isStopped || this.start(),
          this.restartDelayMs,
        );
      }
    });
    this.#child = child;
  }

  /** Sends a signal; SIGSTOP pauses the process, SIGCONT resumes it. */
  sendSignal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /**
   * Waits until the process ends, without restarting it.
   * @returns Its exit code, or null if it was ended by a signal.
   */
  async waitForFinalExit(): Promise<number | null> {
    this.#isStopped = true;
    const child = this.#child as ChildProcess;
    return await new Promise((resolve) => child.once("exit", resolve));
  }

  /** Stops the process gracefully, without restarting it. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.sendSignal("SIGCONT");
    if (this.#child !== undefined) {
      await stopChild(this.#child);
    }
  }
}
