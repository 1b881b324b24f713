/** A value that differs between two versions; undefined where a version doesn't have it. */
export interface ConfigDifference {
  readonly path: string;
  readonly former: unknown;
  readonly next: unknown;
}
