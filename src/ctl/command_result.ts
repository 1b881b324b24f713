/** Output and exit code of a command. */
export interface CommandResult {
  readonly exitCode: number;
  /** Output for people. */
  readonly text: string;
  /** Output for scripts, printed as JSON with `--json`. */
  readonly value: Record<string, unknown>;
}
