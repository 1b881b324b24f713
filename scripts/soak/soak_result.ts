/** The result of a soak run with one seed. */
export interface SoakResult {
  readonly violations: readonly string[];
  readonly faults: readonly string[];
  readonly jobCount: number;
  readonly startCount: number;
  readonly outcomeCounts: Record<string, number>;
}
