/** Bounds of a time that the log may not state exactly, in milliseconds. */
export interface TimeRange {
  readonly earliest: number;
  readonly latest: number;
}
