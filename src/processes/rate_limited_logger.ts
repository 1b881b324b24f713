import type { Logger } from "tslog";

/** Largest number of lines with the same message in one second. */
const MAX_LINES_PER_SECOND = 20;

export interface RateLimitedLoggerOptions {
  logger: Logger<Record<string, unknown>>;
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Writes log lines whose number grows with the load. The number of lines with
 * the same message is limited in each second; the next line that is written
 * states how many were suppressed.
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
   * Writes a line, unless the limit for its message is reached in the current
   * second.
   * @param level - Level of the line.
   * @param message - A constant text, to which the limit applies.
   * @param fields - Variable data of the line.
   */
  writeLine(
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
    if (window.lines >= MAX_LINES_PER_SECOND) {
      window.suppressed++;
      return;
    }
    window.lines++;
    const allFields = { ...fields, suppressed: window.suppressed || undefined };
    window.suppressed = 0;
    // The logger would print an undefined field as text.
    const definedFields = Object.entries(allFields).filter(([, value]) =>
      value !== undefined
    );
    this.#logger[level](message, Object.fromEntries(definedFields));
  }
}
