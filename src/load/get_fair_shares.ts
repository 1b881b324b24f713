/** A customer's demand and weight. */
interface Demand {
  readonly work: number;
  readonly weight: number;
}

/**
 * Gets what each customer is entitled to: the capacity is divided by weight,
 * and what a customer doesn't need is divided among the others in the same way.
 * @param demands - Demands by customer.
 * @param capacity - Work that can be done.
 */
export function getFairShares(
  demands: ReadonlyMap<string, Demand>,
  capacity: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  const open = new Map(demands);
  let rest = capacity;
  while (open.size > 0) {
    const weights = [...open.values()].reduce((sum, d) => sum + d.weight, 0);
    const satisfied = [...open].filter(([, { work, weight }]) =>
      work <= rest * weight / weights
    );
    if (satisfied.length === 0) {
      for (const [name, { weight }] of open) {
        shares.set(name, rest * weight / weights);
      }
      return shares;
    }
    for (const [name, { work }] of satisfied) {
      shares.set(name, work);
      open.delete(name);
      rest -= work;
    }
  }
  return shares;
}
