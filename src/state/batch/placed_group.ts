/** Those tasks of a group that stay where they are while others are placed again. */
export interface PlacedGroup {
  /** Racks on which they were placed. */
  readonly racks: ReadonlySet<string>;
  /** Expected time until the last of them ends, in milliseconds. */
  readonly leftMs: number;
  /** Sum of the expected times until each of them ends, in milliseconds. */
  readonly totalLeftMs: number;
}
