/** Work that a customer asks for, and its weight. */
interface CustomerDemand {
  readonly work: number;
  readonly weight: number;
}

/**
 * Gets the work that each customer is entitled to: the weighted max-min fair
 * share. The capacity is divided by weight, and what a customer doesn't need is
 * divided among the others in the same way.
 * @param demands - Demands by customer.
 * @param capacity - Total work that can be done.
 */
export function getFairShares(
  demands: ReadonlyMap<string, CustomerDemand>,
  capacity: number,
): Map<string, number> {
  const shares = new Map<string, number>();
  const unsatisfied = new Map(demands);
  let remaining = capacity;
  while (unsatisfied.size > 0) {
    const totalWeight = [...unsatisfied.values()].reduce(
      (sum, d) => sum + d.weight,
      0,
    );
    const satisfied = [...unsatisfied].filter(([, { work, weight }]) =>
      work <= remaining * weight / totalWeight
    );
    if (satisfied.length === 0) {
      for (const [name, { weight }] of unsatisfied) {
        shares.set(name, remaining * weight / totalWeight);
      }
      return shares;
    }
    for (const [name, { work }] of satisfied) {
      shares.set(name, work);
      unsatisfied.delete(name);
      remaining -= work;
    }
  }
  return shares;
}
