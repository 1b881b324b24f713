import type { EventLog } from "../coordination/ports/mod.ts";

/** Interval of the timer whose delay is measured, in milliseconds. */
const TICK_INTERVAL_MS = 50;

/** Default of `minPauseMs`. */
const DEFAULT_MIN_PAUSE_MS = 500;

/** Window of the limit of lines, in milliseconds. */
const LIMIT_WINDOW_MS = 60_000;

/** Most lines in one window; a process that gets no processor time would log on. */
const MAX_LINES_PER_WINDOW = 10;

export interface PauseMonitorOptions {
  log: EventLog;
  /** Shortest pause that is logged, in milliseconds. */
  minPauseMs?: number;
  getTime?: () => number;
}

/**
 * Logs each time for which the event loop of this process stood still, since the
 * process was stopped, got no processor time or was in one long turn. The line
 * follows those about what arrived meanwhile, if these are of the same turn.
 */
export class PauseMonitor {
  readonly #log: EventLog;
  readonly #minPauseMs: number;
  readonly #getTime: () => number;
  #lastTickAt: number;
  #windowStartedAt = -Infinity;
  #linesInWindow = 0;
  #omittedPauses = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PauseMonitorOptions) {
    this.#log = options.log;
    this.#minPauseMs = options.minPauseMs ?? DEFAULT_MIN_PAUSE_MS;
    this.#getTime = options.getTime ?? (() => performance.now());
    this.#lastTickAt = this.#getTime();
  }

  start(): void {
    this.#lastTickAt = this.#getTime();
    this.#timer = setInterval(() => this.recordTick(), TICK_INTERVAL_MS);
    this.#timer.unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Records that the timer has fired. */
  recordTick(): void {
    const now = this.#getTime();
    const pausedMs = now - this.#lastTickAt - TICK_INTERVAL_MS;
    this.#lastTickAt = now;
    if (pausedMs >= this.#minPauseMs) {
      this.#reportPause(pausedMs, now);
    }
  }

  #reportPause(pausedMs: number, now: number): void {
    if (now - this.#windowStartedAt >= LIMIT_WINDOW_MS) {
      this.#windowStartedAt = now;
      this.#linesInWindow = 0;
    }
    if (this.#linesInWindow >= MAX_LINES_PER_WINDOW) {
      this.#omittedPauses++;
      return;
    }
    this.#linesInWindow++;
    this.#log.record("process_paused", {
      pausedMs: Math.round(pausedMs),
      omittedPauses: this.#omittedPauses > 0 ? this.#omittedPauses : undefined,
    });
    this.#omittedPauses = 0;
  }
}
