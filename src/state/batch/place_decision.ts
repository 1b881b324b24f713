/**
 * Where a task goes that names the rack of its data: `near` or `far` at once, or to
 * a worker near its data to `wait` there. After `recheckAfterMs` milliseconds that
 * worker's agent checks whether it will start in time, since that is the last moment
 * at which it can go elsewhere; infinite if elsewhere it would be late already.
 */
export type PlaceDecision =
  | { readonly kind: "near" }
  | { readonly kind: "wait"; readonly recheckAfterMs: number }
  | { readonly kind: "far" };
