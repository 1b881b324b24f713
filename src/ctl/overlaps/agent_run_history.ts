import { BATCH_LIMITS } from "../../coordination/batch/batch_limits.ts";
import type { LogLine } from "../log_line.ts";
import type { LoggedRun } from "./logged_run.ts";
import { RunLine } from "./run_line.ts";
import type { TimeRange } from "./time_range.ts";

/** Longest time for which a run goes on after its agent was killed. */
const ORPHANED_RUN_MS = BATCH_LIMITS.leaseMs *
    BATCH_LIMITS.maxClockDriftFactor + BATCH_LIMITS.maxStopDelayMs;

/** Outcomes of runs that were not started at the worker. */
const NOT_STARTED: ReadonlySet<string> = new Set([
  "returned",
  "declined",
  "expired",
]);

/** Outcomes of runs whose end the agent inferred, perhaps much later. */
const INFERRED_ENDS: ReadonlySet<string> = new Set(["lost", "crashed"]);

/**
 * Age of an entry's latest acknowledgement that shows that the agent was paused:
 * otherwise it finds the entry silent earlier.
 */
const PAUSE_PROOF_AGE_MS = BATCH_LIMITS.entryTimeoutMs + 150;

/** Longest time by which `process_paused` states a pause too short. */
const PAUSE_TOLERANCE_MS = 50;

/** Time after a pause in which an agent may log what ended during the pause. */
const RESUME_MS = 100;

interface OpenRun {
  readonly line: RunLine;
  readonly start: TimeRange;
  /** Whether a line about its end may have been dropped. */
  mayHaveEnded: boolean;
}

interface OrphanedRun {
  readonly run: OpenRun;
  readonly end: TimeRange;
}

/**
 * Derives the runs at one agent from its log lines, in their order. The end of
 * a run that the agent did not log, since it was killed, lies between its last
 * line and the time when the lease has expired or its next incarnation has
 * found no run of an earlier one. An end that the agent saw after a pause may lie
 * anywhere in the pause.
 */
export class AgentRunHistory {
  readonly #runs: LoggedRun[] = [];
  readonly #openRuns = new Map<string, OpenRun>();
  readonly #unansweredStarts = new Map<string, RunLine>();
  readonly #pauses: TimeRange[] = [];
  #orphanedRuns: OrphanedRun[] = [];
  #latestLineAt = 0;

  /** Adds the next line of the agent. */
  addLine(line: LogLine): void {
    switch (line.event) {
      case "starting":
        this.#markOrphanedRuns(line.time);
        break;
      case "worker_settled":
        this.#endOrphanedRuns(line.time);
        break;
      case "entry_silent": {
        const age = Number(line["proofAgeMs"]);
        if (age > PAUSE_PROOF_AGE_MS) {
          this.#pauses.push({ earliest: line.time - age, latest: line.time });
        }
        break;
      }
      case "process_paused": {
        const lengthMs = Number(line["pausedMs"]) + PAUSE_TOLERANCE_MS;
        this.#pauses.push({
          earliest: line.time - lengthMs,
          latest: line.time,
        });
        break;
      }
      case "lines_dropped":
        this.#openRuns.forEach((run) => run.mayHaveEnded = true);
        break;
      case "start_unanswered":
      case "start_repeated":
      case "run_started":
      case "run_ended": {
        const parsed = RunLine.safeParse(line);
        if (parsed.success) {
          this.#addRunLine(line.event, parsed.data);
        }
        break;
      }
      default:
    }
    this.#latestLineAt = line.time;
  }

  /** Gets all runs; no more lines may be added. */
  takeRuns(): LoggedRun[] {
    this.#markOrphanedRuns(this.#latestLineAt);
    this.#endOrphanedRuns(Infinity);
    return this.#runs.map((run) => ({ ...run, end: this.#resolveEnd(run) }));
  }

  #addRunLine(
    event:
      | "start_unanswered"
      | "start_repeated"
      | "run_started"
      | "run_ended",
    line: RunLine,
  ): void {
    const key = `${line.task} ${line.run}`;
    switch (event) {
      case "start_unanswered":
        this.#unansweredStarts.set(key, line);
        return;
      case "start_repeated":
        this.#unansweredStarts.delete(key);
        return;
      case "run_started": {
        // A start without an answer is confirmed later, by a lease report.
        const earliest = this.#unansweredStarts.get(key)?.time ?? line.time;
        const start = { earliest, latest: line.time };
        this.#openRuns.set(key, { line, start, mayHaveEnded: false });
        return;
      }
      case "run_ended":
        this.#endRun(key, line);
        return;
      default:
        event satisfies never;
    }
  }

  #endRun(key: string, line: RunLine): void {
    const { time, outcome = "", runMs } = line;
    const open = this.#openRuns.get(key);
    if (runMs === 0) {
      // It was refused before its start. Its number may be the one of a run of
      // another entry that goes on.
      return;
    }
    this.#openRuns.delete(key);
    this.#unansweredStarts.delete(key);
    if (open === undefined && NOT_STARTED.has(outcome)) {
      return;
    }
    const start = getStart(open, line);
    const earliest = INFERRED_ENDS.has(outcome) ? start.latest : time;
    const run = { line: open?.line ?? line, start };
    this.#addRun(run, { earliest, latest: time }, outcome);
  }

  /** Notes that an incarnation of the agent has ended, with all its runs open. */
  #markOrphanedRuns(time: number): void {
    for (const run of this.#openRuns.values()) {
      const { latest } = run.start;
      const earliest = run.mayHaveEnded
        ? latest
        : Math.max(latest, this.#latestLineAt);
      const end = { earliest, latest: time + ORPHANED_RUN_MS };
      this.#orphanedRuns.push({ run, end });
    }
    for (const [key, line] of this.#unansweredStarts) {
      if (!this.#openRuns.has(key)) {
        const latest = time + ORPHANED_RUN_MS;
        const start = { earliest: line.time, latest };
        const run = { line, start, mayHaveEnded: true };
        this.#orphanedRuns.push({ run, end: { earliest: latest, latest } });
      }
    }
    this.#openRuns.clear();
    this.#unansweredStarts.clear();
  }

  #endOrphanedRuns(time: number): void {
    for (const { run, end } of this.#orphanedRuns) {
      const latest = Math.min(end.latest, time);
      this.#addRun(run, { ...end, latest }, undefined);
    }
    this.#orphanedRuns = [];
  }

  /** Moves the earliest end of a run back to the start of a pause. */
  #resolveEnd({ start, end }: LoggedRun): TimeRange {
    const pausedSince = this.#pauses
      .filter(({ earliest, latest }) =>
        end.latest >= earliest && end.latest <= latest + RESUME_MS
      )
      .map(({ earliest }) => earliest);
    const earliest = Math.min(end.earliest, ...pausedSince);
    return { ...end, earliest: Math.max(start.latest, earliest) };
  }

  #addRun(
    { line, start }: Pick<OpenRun, "line" | "start">,
    end: TimeRange,
    outcome: string | undefined,
  ): void {
    const { job, task, run, process: agent, entry } = line;
    this.#runs.push({ job, task, run, agent, entry, start, end, outcome });
  }
}

/**
 * Gets the time at which a run that has ended was started. A start that was not
 * confirmed at once may have been carried out since it was sent.
 */
function getStart(
  open: OpenRun | undefined,
  { time, runMs }: RunLine,
): TimeRange {
  const sentAt = time - runMs;
  if (open === undefined) {
    return { earliest: sentAt, latest: time };
  }
  const { earliest, latest } = open.start;
  return earliest < latest
    ? { earliest: Math.min(sentAt, earliest), latest }
    : open.start;
}
