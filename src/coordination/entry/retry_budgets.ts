/** Part of a retry that each task start earns. */
const RETRIES_PER_START = 0.1;

/** Retries that a customer earns a second without any start. */
const RETRIES_PER_SECOND = 3;

/**
 * Largest number of saved retries: a long quiet time must not allow a storm.
 */
const MAX_SAVED = 100;

/**
 * Customers that are remembered; the one without starts for the longest time is
 * forgotten first.
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
 * Limits the repeated attempts of each customer, so that a fault isn't answered
 * with more load.
 */
export class RetryBudgets {
  readonly #getTime: () => number;
  readonly #budgets = new Map<string, Budget>();

  constructor(options: RetryBudgetsOptions = {}) {
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** Records the start of a task. */
  recordStart(customer: string): void {
    const budget = this.#get(customer);
    budget.retries = Math.min(MAX_SAVED, budget.retries + RETRIES_PER_START);
  }

  /** Takes one retry from the budget, and returns false when there is none. */
  tryConsume(customer: string): boolean {
    const budget = this.#get(customer);
    if (budget.retries < 1) {
      return false;
    }
    budget.retries--;
    return true;
  }

  #get(customer: string): Budget {
    const now = this.#getTime();
    const budget = this.#budgets.get(customer) ??
      { retries: RETRIES_PER_SECOND, updatedAt: now };
    const earned = (now - budget.updatedAt) * RETRIES_PER_SECOND / 1_000;
    budget.retries = Math.min(MAX_SAVED, budget.retries + earned);
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
