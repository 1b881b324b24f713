import type { LogLine } from "../log_line.ts";

/** Events by which processes state whether they can hear each other. */
const CONNECTION_EVENTS: ReadonlySet<string> = new Set([
  "agent_found",
  "agent_lost",
  "entry_found",
  "entry_lost",
  "entry_silent",
]);

/** Events about a process itself, and about what the worker of an agent executes. */
const PROCESS_EVENTS: ReadonlySet<string> = new Set([
  "lines_dropped",
  "process_paused",
  "runs_interrupted",
  "starting",
  "stopping",
  "worker_found",
  "worker_lost",
  "worker_settled",
  "worker_silent",
]);

/** Index of log lines by process, and by the job or peer that they are about. */
export class LogIndex {
  readonly #lines = new Map<string, LogLine[]>();

  /**
   * @param lines - Log lines of all processes, in the order of their times.
   */
  constructor(lines: readonly LogLine[]) {
    for (const line of lines) {
      const { process, event, job } = line;
      this.#addLine(`${process} all`, line);
      if (event === "starting") {
        this.#addLine("starts", line);
      }
      if (typeof job === "string") {
        this.#addLine(`job ${job}`, line);
        this.#addLine(`${process} job ${job}`, line);
      } else if (CONNECTION_EVENTS.has(event)) {
        const peer = line["agent"] ?? line["entry"];
        this.#addLine(`${process} peer ${peer}`, line);
        this.#addLine(`peer ${peer}`, line);
      } else if (PROCESS_EVENTS.has(event)) {
        this.#addLine(`${process} process`, line);
      }
    }
  }

  /** Gets all lines of a process. */
  getLines(process: string): readonly LogLine[] {
    return this.#lines.get(`${process} all`) ?? [];
  }

  /** Gets the lines about starts of processes between two times. */
  getStarts(from: number, to: number): readonly LogLine[] {
    const lines = this.#lines.get("starts") ?? [];
    return lines.filter(({ time }) => time >= from && time <= to);
  }

  /** Gets the lines of all processes about a job and its tasks. */
  getLinesAboutJob(job: string): readonly LogLine[] {
    return this.#lines.get(`job ${job}`) ?? [];
  }

  /** Gets the lines of a process about a job and its tasks. */
  getJobLines(process: string, job: string): readonly LogLine[] {
    return this.#lines.get(`${process} job ${job}`) ?? [];
  }

  /** Gets the lines of a process about its connections to another one. */
  getConnectionLines(process: string, peer: string): readonly LogLine[] {
    return this.#lines.get(`${process} peer ${peer}`) ?? [];
  }

  /** Gets the lines of all processes about their connections to one. */
  getLinesAboutPeer(peer: string): readonly LogLine[] {
    return this.#lines.get(`peer ${peer}`) ?? [];
  }

  /** Gets the lines of a process about its starts and its worker. */
  getProcessLines(process: string): readonly LogLine[] {
    return this.#lines.get(`${process} process`) ?? [];
  }

  #addLine(key: string, line: LogLine): void {
    const lines = this.#lines.get(key);
    if (lines === undefined) {
      this.#lines.set(key, [line]);
    } else {
      lines.push(line);
    }
  }
}
