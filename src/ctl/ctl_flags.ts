/**
 * The options that every command has. An empty string means that the option was
 * not given.
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
   * `host:port` of a process whose view is read instead of the log; only for
   * commands that publish no change.
   */
  process?: string;
  /** Time after which a command stops retrying the log, in seconds. */
  timeout: string;
}
