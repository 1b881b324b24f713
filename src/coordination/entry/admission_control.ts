import { createError, type DispatchError } from "../../state/errors/mod.ts";
import type { ResolvedRules } from "../../state/settings/mod.ts";
import type { ClusterView } from "../../state/view/mod.ts";
import type { AgentPool } from "./agent_pool.ts";
import { getRunTimeKey } from "./get_run_time_key.ts";
import type { RunTimes } from "./placement/mod.ts";
import type { DispatchQueue } from "./queue/mod.ts";
import type { QuotaShares } from "./quota_shares.ts";
import type { Submission } from "./submission.ts";

/**
 * Tasks that may wait at one entry. An entry's part of the target load is 900
 * starts a second, so this is more than 20 s of work; with bodies of 10 KB it
 * stays within 200 MB.
 */
const MAX_WAITING = 20_000;

export interface AdmissionControlOptions {
  view: ClusterView;
  pool: Pick<AgentPool, "hasService" | "wasOffered" | "getCredits">;
  quotas: QuotaShares;
  queue: DispatchQueue;
  runTimes: RunTimes;
  /** Gets the number of running tasks of a service. */
  getRunning: (service: string) => number;
}

interface CheckOptions {
  rules: ResolvedRules;
  /** Time of `performance.now()` by which the submission has to be answered. */
  deadline: number;
}

/**
 * Decides whether a claimed submission is run. Refusing here is early and a
 * true "not run".
 */
export class AdmissionControl {
  readonly #options: AdmissionControlOptions;

  constructor(options: AdmissionControlOptions) {
    this.#options = options;
  }

  /** Finds the reason why a submission is refused. */
  findRefusal(
    submission: Submission,
    options: CheckOptions,
  ): DispatchError | undefined {
    return this.#findUnknown(submission) ??
      findTooLarge(submission, options.rules) ??
      this.#findWithoutCapacity(submission) ??
      this.#findFull(submission) ??
      this.#findUnreachableDeadline(submission, options.deadline);
  }

  #findUnknown({ service, customer }: Submission): DispatchError | undefined {
    const { services, customers } = this.#options.view.settings;
    if (services?.[service] === undefined) {
      return createError("unknown_service", `unknown service "${service}"`);
    }
    return customers !== undefined && customers[customer] === undefined
      ? createError("unknown_customer", `unknown customer "${customer}"`)
      : undefined;
  }

  #findWithoutCapacity({ service }: Submission): DispatchError | undefined {
    const { pool } = this.#options;
    if (pool.hasService(service)) {
      return undefined;
    }
    // There is no list of upstreams; one that was seen before may come back.
    return pool.wasOffered(service)
      ? createError(
        "no_capacity",
        `no upstream in service offers "${service}"`,
      )
      : createError("unplaceable", `no upstream has ever offered "${service}"`);
  }

  #findFull(submission: Submission): DispatchError | undefined {
    const { queue, quotas, pool } = this.#options;
    const { customer, team = "", tasks } = submission;
    // Tasks that find a credit don't wait.
    const added = Math.max(0, tasks.length - pool.getCredits());
    if (added === 0) {
      return undefined;
    }
    for (const name of [undefined, team]) {
      const waiting = queue.getQueueState(customer, name)?.waiting ?? 0;
      if (waiting + added > quotas.get("maxQueued", customer, name)) {
        const owner = name === undefined ? customer : `${customer}/${name}`;
        const message = `${owner} has ${waiting} waiting tasks here`;
        return createError("quota_exceeded", message);
      }
    }
    return queue.waiting + added > MAX_WAITING
      ? createError("queue_full", `${queue.waiting} tasks wait at this entry`)
      : undefined;
  }

  #findUnreachableDeadline(
    submission: Submission,
    deadline: number,
  ): DispatchError | undefined {
    const { runTimes, view } = this.#options;
    const remaining = deadline - performance.now();
    const runMs = runTimes.getShortestMean(
      getRunTimeKey(view.settings, submission),
    );
    const waitMs = this.#estimateWait(submission);
    return runMs !== undefined && waitMs + runMs > remaining
      ? createError(
        "deadline_unreachable",
        `about ${Math.ceil(waitMs + runMs)} ms, ${
          Math.floor(remaining)
        } ms are left`,
      )
      : undefined;
  }

  /**
   * Estimates the time until the last task starts: the tasks before it, divided
   * by the rate at which the running ones end (Little's law). The customer's
   * weight bounds how many tasks of others go first.
   */
  #estimateWait(submission: Submission): number {
    const { queue, runTimes, getRunning } = this.#options;
    const { service, customer, tasks } = submission;
    const waiting = queue.waitingByService.get(service) ?? 0;
    const runMs = runTimes.getMean(service);
    const running = getRunning(service);
    if (waiting === 0 || runMs === undefined || running === 0) {
      // Without a queue the rate says how much was asked for, not how much can
      // be done.
      return 0;
    }
    const rate = running / Math.max(1, runMs);
    const own = queue.getQueueState(customer)?.waiting ?? 0;
    const share = this.#getShare(customer);
    const all = waiting + tasks.length;
    return Math.min(all, (own + tasks.length) / share) / rate;
  }

  /**
   * Gets a customer's part of the capacity among the customers that have
   * waiting tasks.
   */
  #getShare(customer: string): number {
    const { queue, view } = this.#options;
    const getWeight = (name: string) =>
      view.settings.customers?.[name]?.weight ?? 1;
    const all = new Set([...queue.getWaitingCustomers(), customer]);
    let sum = 0;
    for (const name of all) {
      sum += getWeight(name);
    }
    return getWeight(customer) / sum;
  }
}

function findTooLarge(
  submission: Submission,
  rules: ResolvedRules,
): DispatchError | undefined {
  const { maxTasks, maxBodyBytes } = rules;
  if (submission.tasks.length > maxTasks) {
    const message = `a job of this service has at most ${maxTasks} tasks`;
    return createError("invalid_request", message, { path: "tasks" });
  }
  const large = submission.tasks.find(({ body }) => body.length > maxBodyBytes);
  return large === undefined ? undefined : createError(
    "body_too_large",
    `more than ${maxBodyBytes} bytes`,
    { path: `tasks.${large.index}.body` },
  );
}
