/**
 * The options that every command has. Empty text stands for an option that
 * wasn't given.
 */
export interface CtlFlags {
  /** `host:port` of the log service. */
  log: string;
  /** Path of a settings file. */
  settings: string;
  operator: string;
  /** Whether the output is one JSON object. */
  json: boolean;
  /**
   * `host:port` of a process whose view is used in place of the log; only for
   * commands that read.
   */
  process?: string;
  /** Seconds until a command gives up on the log. */
  timeout: string;
}
