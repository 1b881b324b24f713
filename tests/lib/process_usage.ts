import { readdirSync, readFileSync } from "node:fs";
import { setTimeout as wait } from "node:timers/promises";

/** Interval at which open descriptors are counted, in milliseconds. */
const COUNT_INTERVAL_MS = 50;

/** Observes the memory and the open descriptors of a process. */
export class ProcessUsage {
  readonly #pid: number;
  readonly #abort = new AbortController();
  #peakDescriptors = 0;

  constructor(pid: number) {
    this.#pid = pid;
    void this.#countDescriptors();
  }

  /** Gets the largest number of descriptors that was seen open. */
  get peakDescriptors(): number {
    return this.#peakDescriptors;
  }

  /** Reads the largest memory that the process has had, in megabytes. */
  readPeakMemoryMb(): number {
    const status = readFileSync(`/proc/${this.#pid}/status`, "utf8");
    const match = /^VmHWM:\s+(\d+) kB$/m.exec(status);
    return Number(match?.[1]) * 1_024 / 1e6;
  }

  stop(): void {
    this.#abort.abort();
  }

  async #countDescriptors(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      try {
        const { length } = readdirSync(`/proc/${this.#pid}/fd`);
        this.#peakDescriptors = Math.max(this.#peakDescriptors, length);
      } catch {
        return;
      }
      await wait(COUNT_INTERVAL_MS);
    }
  }
}
