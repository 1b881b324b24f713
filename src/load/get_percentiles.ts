import { build } from "hdr-histogram-js";
import type { Percentiles } from "./percentiles.ts";

/**
 * Factor by which values are multiplied before they are recorded, since the
 * histogram takes whole numbers only.
 */
const SCALE = 1_000;

/** Gets the percentiles of non-negative values, to three significant digits. */
export function getPercentiles(values: readonly number[]): Percentiles {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) {
    histogram.recordValue(Math.max(0, Math.round(value * SCALE)));
  }
  const getValue = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / SCALE;
  return {
    count: values.length,
    p50: getValue(50),
    p90: getValue(90),
    p99: getValue(99),
    // The histogram would round the largest value up to the end of its bucket.
    max: Math.max(0, ...values),
  };
}
