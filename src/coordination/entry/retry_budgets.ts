/** Retries that each task start adds to the budget. */
const RETRIES_PER_START = 0.1;

/** Retries per second that are added to the budget without any start. */
const RETRIES_PER_SECOND = 3;

/**
 * Maximum number of saved retries, so that a long idle period doesn't allow a
 * burst of retries.
 */
const MAX_SAVED_RETRIES = 100;

/**
 * Maximum number of customers with a budget; the least recently used budget is
 * evicted first.
 */
const MAX_CUSTOMERS = 10_000;

interface Budget {
  retries: number;
  updatedAt: number;
}

export interface RetryBudgetsOptions {
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Limits the retries of each customer, so that retries don't multiply the load
 * during a fault.
 */
export class RetryBudgets {
  readonly #getTime: () => number;
  readonly #budgets = new Map<string, Budget>();

  constructor(options: RetryBudgetsOptions = {}) {
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** Records the start of a task. */
  recordStart(customer: string): void {
    const budget = this.#getBudget(customer);
    budget.retries = Math.min(
      MAX_SAVED_RETRIES,
      budget.retries + RETRIES_PER_START,
    );
  }

  /** Takes one retry from the budget. Returns false when none is left. */
  tryConsume(customer: string): boolean {
    const budget = this.#getBudget(customer);
    if (budget.retries < 1) {
      return false;
    }
    budget.retries--;
    return true;
  }

  #getBudget(customer: string): Budget {
    const now = this.#getTime();
    const budget = this.#budgets.get(customer) ??
      { retries: RETRIES_PER_SECOND, updatedAt: now };
    const addedRetries = (now - budget.updatedAt) * RETRIES_PER_SECOND / 1_000;
    budget.retries = Math.min(MAX_SAVED_RETRIES, budget.retries + addedRetries);
    budget.updatedAt = now;
    this.#budgets.delete(customer);
    this.#budgets.set(customer, budget);
    if (this.#budgets.size > MAX_CUSTOMERS) {
      const [oldest] = this.#budgets.keys();
      this.#budgets.delete(oldest as string);
    }
    return budget;
  }
}
