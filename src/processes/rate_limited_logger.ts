import type { Logger } from "tslog";

/** Lines of one message in a second. */
const LINES_PER_SECOND = 20;

export interface RateLimitedLoggerOptions {
  logger: Logger<Record<string, unknown>>;
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Writes log lines whose number grows with the load. Of each message a limited
 * number is written in a second; the next one states how many were left out.
 */
export class RateLimitedLogger {
  readonly #logger: Logger<Record<string, unknown>>;
  readonly #getTime: () => number;
  readonly #windows = new Map<
    string,
    { startedAt: number; lines: number; suppressed: number }
  >();

  constructor(options: RateLimitedLoggerOptions) {
    this.#logger = options.logger;
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /**
   * Writes a line unless too many with this message were written in this
   * second.
   * @param level - Level of the line.
   * @param message - A constant text.
   * @param fields - What the line is about.
   */
  write(
    level: "info" | "warn",
    message: string,
    fields: Record<string, unknown>,
  ): void {
    const now = this.#getTime();
    const window = this.#windows.get(message) ??
      { startedAt: now, lines: 0, suppressed: 0 };
    this.#windows.set(message, window);
    if (now - window.startedAt >= 1_000) {
      window.startedAt = now;
      window.lines = 0;
    }
    if (window.lines >= LINES_PER_SECOND) {
      window.suppressed++;
      return;
    }
    window.lines++;
    const all = { ...fields, suppressed: window.suppressed || undefined };
    window.suppressed = 0;
    // The logger would print a field without a value as text.
    const known = Object.entries(all).filter(([, value]) =>
      value !== undefined
    );
    this.#logger[level](message, Object.fromEntries(known));
  }
}
