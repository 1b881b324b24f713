import { build, type Histogram } from "hdr-histogram-js";

/** Percentiles that are reported for each histogram. */
const PERCENTILES = [50, 90, 99, 99.9, 100];

/** The counters, gauges and histograms of a process. */
export class Metrics {
  readonly #counters = new Map<string, number>();
  readonly #gauges = new Map<string, () => number>();
  readonly #histograms = new Map<string, Histogram>();

  /** Adds to a counter. */
  add(name: string, count = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + count);
  }

  /** Sets the function that gets the value of a gauge. */
  setGauge(name: string, getValue: () => number): void {
    this.#gauges.set(name, getValue);
  }

  /**
   * Records a time in a histogram.
   * @param name - Name of the histogram.
   * @param timeMs - Time in milliseconds; kept with a resolution of a microsecond.
   */
  recordTime(name: string, timeMs: number): void {
    let histogram = this.#histograms.get(name);
    if (histogram === undefined) {
      histogram = build({ numberOfSignificantValueDigits: 3 });
      this.#histograms.set(name, histogram);
    }
    histogram.recordValue(Math.max(0, Math.round(timeMs * 1_000)));
  }

  /** Gets the text of all metrics, one per line, in the usual exposition format. */
  format(): string {
    const lines: string[] = [];
    for (const [name, value] of this.#counters) {
      lines.push(`cranberrybank_${name}_total ${value}`);
    }
    for (const [name, getValue] of this.#gauges) {
      lines.push(`cranberrybank_${name} ${getValue()}`);
    }
    for (const [name, histogram] of this.#histograms) {
      for (const percentile of PERCENTILES) {
        const seconds = histogram.getValueAtPercentile(percentile) / 1e6;
        lines.push(
          `cranberrybank_${name}_seconds{quantile="${
            percentile / 100
          }"} ${seconds}`,
        );
      }
      lines.push(`cranberrybank_${name}_seconds_count ${histogram.totalCount}`);
    }
    return lines.join("\n") + "\n";
  }
}
