import type { Histogram } from "hdr-histogram-js";
// The library's index also loads formatters for languages, which takes a tenth
// of a process's start-up time.
import { build } from "hdr-histogram-js/dist/HistogramBuilder.js";

/**
 * Quantiles that are reported for each histogram, as label values, with the
 * percentiles that the library takes.
 */
const QUANTILES = [
  ["0.5", 50],
  ["0.9", 90],
  ["0.99", 99],
  ["0.999", 99.9],
  ["1", 100],
] as const;

const METRIC_NAME_PREFIX = "cranberrybank_";

type Labels = { readonly [name: string]: string };

export interface MetricOptions {
  /** Labels of the metric; the number of their values must be bounded. */
  labels?: Labels;
}

interface LabelledHistogram {
  readonly labels: Labels;
  readonly histogram: Histogram;
}

/** The counters, gauges and histograms of a process. */
export class Metrics {
  readonly #counters = new Map<string, Map<string, number>>();
  readonly #gauges = new Map<string, () => number>();
  readonly #histograms = new Map<string, Map<string, LabelledHistogram>>();

  /**
   * Adds to a counter.
   * @param name - Name of the counter without prefix and suffix.
   * @param count - Number to add.
   * @param options - Labels.
   */
  incrementCounter(
    name: string,
    count = 1,
    options: MetricOptions = {},
  ): void {
    const labels = formatLabels(options.labels ?? {});
    const values = this.#counters.get(name) ?? new Map<string, number>();
    values.set(labels, (values.get(labels) ?? 0) + count);
    this.#counters.set(name, values);
  }

  /** Sets the function that gets the value of a gauge. */
  setGauge(name: string, getValue: () => number): void {
    this.#gauges.set(name, getValue);
  }

  /**
   * Records a time in a histogram.
   * @param name - Name of the histogram without prefix and suffix.
   * @param timeMs - Time in milliseconds, recorded with a resolution of a
   * microsecond.
   * @param options - Labels.
   */
  recordTime(name: string, timeMs: number, options: MetricOptions = {}): void {
    const { labels = {} } = options;
    const key = formatLabels(labels);
    const byLabels = this.#histograms.get(name) ??
      new Map<string, LabelledHistogram>();
    this.#histograms.set(name, byLabels);
    let entry = byLabels.get(key);
    if (entry === undefined) {
      const histogram = build({ numberOfSignificantValueDigits: 3 });
      entry = { labels, histogram };
      byLabels.set(key, entry);
    }
    entry.histogram.recordValue(Math.max(0, Math.round(timeMs * 1_000)));
  }

  /**
   * Gets the text of all metrics, one per line, in the Prometheus exposition
   * format.
   */
  format(): string {
    const lines: string[] = [];
    for (const [name, values] of this.#counters) {
      lines.push(`# TYPE ${METRIC_NAME_PREFIX}${name}_total counter`);
      for (const [labels, value] of values) {
        lines.push(`${METRIC_NAME_PREFIX}${name}_total${labels} ${value}`);
      }
    }
    for (const [name, getValue] of this.#gauges) {
      lines.push(`# TYPE ${METRIC_NAME_PREFIX}${name} gauge`);
      lines.push(`${METRIC_NAME_PREFIX}${name} ${getValue()}`);
    }
    for (const [name, byLabels] of this.#histograms) {
      const fullName = `${METRIC_NAME_PREFIX}${name}_seconds`;
      lines.push(`# TYPE ${fullName} summary`);
      for (const entry of byLabels.values()) {
        lines.push(...formatHistogram(fullName, entry));
      }
    }
    return lines.join("\n") + "\n";
  }
}

function formatHistogram(
  name: string,
  { labels, histogram }: LabelledHistogram,
): string[] {
  const count = histogram.totalCount;
  const quantiles = QUANTILES.map(([quantile, percentile]) => {
    const seconds = histogram.getValueAtPercentile(percentile) / 1e6;
    return `${name}${formatLabels({ ...labels, quantile })} ${seconds}`;
  });
  const suffix = formatLabels(labels);
  return [
    ...quantiles,
    `${name}_sum${suffix} ${count === 0 ? 0 : histogram.mean * count / 1e6}`,
    `${name}_count${suffix} ${count}`,
  ];
}

function formatLabels(labels: Labels): string {
  const pairs = Object.entries(labels).map(([name, value]) =>
    `${name}=${JSON.stringify(value)}`
  );
  return pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
}
