/** Something that is wrong with a configuration. */
export interface ConfigFinding {
  /**
   * `error`: requests are refused, or a value never takes effect. `warning`: it works,
   * but is probably not meant.
   */
  readonly severity: "error" | "warning";
  /** Names and indexes that lead to the value. */
  readonly path: readonly (string | number)[];
  readonly message: string;
}
