import { build } from "hdr-histogram-js";
import type { Percentiles } from "./percentiles.ts";

/** Values are kept in thousandths, since the histogram takes whole numbers. */
const SCALE = 1_000;

/**
 * Gets the percentiles of values that are at least 0, to three significant
 * digits.
 */
export function getPercentiles(values: readonly number[]): Percentiles {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) {
    histogram.recordValue(Math.max(0, Math.round(value * SCALE)));
  }
  const get = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / SCALE;
  return {
    count: values.length,
    p50: get(50),
    p90: get(90),
    p99: get(99),
    // The histogram would round the largest value up to the end of its bucket.
    max: Math.max(0, ...values),
  };
}
