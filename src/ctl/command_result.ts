/** What a command prints and the exit code it ends with. */
export interface CommandResult {
  readonly exitCode: number;
  /** For people. */
  readonly text: string;
  /** For scripts, printed by `--json`. */
  readonly value: Record<string, unknown>;
}
