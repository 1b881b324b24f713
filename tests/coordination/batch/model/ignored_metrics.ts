import { Metrics } from "../../../../src/state/metrics/mod.ts";

/** Metrics that nobody reads, and that cost no time. */
export class IgnoredMetrics extends Metrics {
  override incrementCounter(): void {}
  override setGauge(): void {}
  override recordTime(): void {}
}
