/** What a run of one seed has seen. */
export interface SoakResult {
  readonly violations: readonly string[];
  readonly faults: readonly string[];
  readonly jobs: number;
  readonly starts: number;
  readonly answers: Record<string, number>;
}
