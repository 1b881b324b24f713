import type { ModelOrder } from "./model_order.ts";

/** One course of a model. */
export interface ModelScenario {
  /** Seed of delays and of what the product draws at random. */
  readonly seed: number;
  readonly jobs: readonly ModelJob[];
  readonly orders: readonly TimedOrder[];
}

interface ModelJob {
  /** The steps, each of which depends on the one before it. */
  readonly steps: readonly { count: number; durationMs: number }[];
}

interface TimedOrder {
  /** Time since the order before, in milliseconds. */
  readonly afterMs: number;
  readonly order: ModelOrder;
}
