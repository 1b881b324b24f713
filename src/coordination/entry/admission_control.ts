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
 * Maximum number of tasks that wait at one entry. An entry's share of the
 * target load is 900 starts per second, so this is more than 20 s of work; with
 * bodies of 10 KB it takes at most 200 MB.
 */
const MAX_WAITING_TASKS = 20_000;

export interface AdmissionControlOptions {
  view: ClusterView;
  pool: Pick<AgentPool, "hasService" | "wasOffered" | "getCredits">;
  quotas: QuotaShares;
  queue: DispatchQueue;
  runTimes: RunTimes;
  /** Gets the number of running tasks of a service. */
  getRunningCount: (service: string) => number;
}

interface FindRefusalOptions {
  rules: ResolvedRules;
  /** Time of `performance.now()` by which the submission must be answered. */
  deadline: number;
}

/**
 * Decides whether a claimed submission is run. A submission that is refused
 * here was certainly not run, because none of its tasks has been dispatched.
 */
export class AdmissionControl {
  readonly #options: AdmissionControlOptions;

  constructor(options: AdmissionControlOptions) {
    this.#options = options;
  }

  /**
   * Finds the reason to refuse a submission. Returns undefined when it is
   * admitted.
   */
  findRefusal(
    submission: Submission,
    options: FindRefusalOptions,
  ): DispatchError | undefined {
    return this.#findUnknownName(submission) ??
      findExceededSize(submission, options.rules) ??
      this.#findMissingCapacity(submission) ??
      this.#findFullQueue(submission) ??
      this.#findUnreachableDeadline(submission, options.deadline);
  }

  #findUnknownName(
    { service, customer }: Submission,
  ): DispatchError | undefined {
    const { services, customers } = this.#options.view.settings;
    if (services?.[service] === undefined) {
      return createError("unknown_service", `unknown service "${service}"`);
    }
    return customers !== undefined && customers[customer] === undefined
      ? createError("unknown_customer", `unknown customer "${customer}"`)
      : undefined;
  }

  #findMissingCapacity({ service }: Submission): DispatchError | undefined {
    const { pool } = this.#options;
    if (pool.hasService(service)) {
      return undefined;
    }
    // No list of expected upstreams exists; one that offered the service before
    // may return.
    return pool.wasOffered(service)
      ? createError(
        "no_capacity",
        `no upstream in service offers "${service}"`,
      )
      : createError("unplaceable", `no upstream has ever offered "${service}"`);
  }

  #findFullQueue(submission: Submission): DispatchError | undefined {
    const { queue, quotas, pool } = this.#options;
    const { customer, team = "", tasks } = submission;
    // Tasks for which there is a credit don't wait.
    const addedCount = Math.max(0, tasks.length - pool.getCredits());
    if (addedCount === 0) {
      return undefined;
    }
    for (const name of [undefined, team]) {
      const waiting = queue.getQueueState(customer, name)?.waiting ?? 0;
      if (waiting + addedCount > quotas.get("maxQueued", customer, name)) {
        const owner = name === undefined ? customer : `${customer}/${name}`;
        const message = `${owner} has ${waiting} waiting tasks at this entry`;
        return createError("quota_exceeded", message);
      }
    }
    return queue.waiting + addedCount > MAX_WAITING_TASKS
      ? createError("queue_full", `${queue.waiting} tasks wait at this entry`)
      : undefined;
  }

  #findUnreachableDeadline(
    submission: Submission,
    deadline: number,
  ): DispatchError | undefined {
    const { runTimes, view } = this.#options;
    const remainingMs = deadline - performance.now();
    const runMs = runTimes.getShortestMean(
      getRunTimeKey(view.settings, submission),
    );
    const waitMs = this.#estimateWaitMs(submission);
    return runMs !== undefined && waitMs + runMs > remainingMs
      ? createError(
        "deadline_unreachable",
        `the submission would take about ${
          Math.ceil(waitMs + runMs)
        } ms, but its deadline is in ${Math.floor(remainingMs)} ms`,
      )
      : undefined;
  }

  /**
   * Estimates the time until the submission's last task starts, in
   * milliseconds: the number of tasks before it, divided by the rate at which
   * running tasks end (Little's law). The customer's weight limits how many
   * tasks of other customers start first.
   */
  #estimateWaitMs(submission: Submission): number {
    const { queue, runTimes, getRunningCount } = this.#options;
    const { service, customer, tasks } = submission;
    const waiting = queue.waitingByService.get(service) ?? 0;
    const runMs = runTimes.getMean(service);
    const running = getRunningCount(service);
    if (waiting === 0 || runMs === undefined || running === 0) {
      // Without waiting tasks the rate reflects the offered load, not the
      // capacity.
      return 0;
    }
    const endedPerMs = running / Math.max(1, runMs);
    const ownWaiting = queue.getQueueState(customer)?.waiting ?? 0;
    const share = this.#getCapacityShare(customer);
    const total = waiting + tasks.length;
    return Math.min(total, (ownWaiting + tasks.length) / share) / endedPerMs;
  }

  /**
   * Gets a customer's share of the capacity, from 0 to 1, among the customers
   * that have waiting tasks.
   */
  #getCapacityShare(customer: string): number {
    const { queue, view } = this.#options;
    const getWeight = (name: string) =>
      view.settings.customers?.[name]?.weight ?? 1;
    const customers = new Set([...queue.getWaitingCustomers(), customer]);
    let sum = 0;
    for (const name of customers) {
      sum += getWeight(name);
    }
    return getWeight(customer) / sum;
  }
}

function findExceededSize(
  submission: Submission,
  rules: ResolvedRules,
): DispatchError | undefined {
  const { maxTasks, maxBodyBytes } = rules;
  if (submission.tasks.length > maxTasks) {
    const message = `a job of this service has at most ${maxTasks} tasks`;
    return createError("invalid_request", message, { path: "tasks" });
  }
  const oversizedTask = submission.tasks.find(({ body }) =>
    body.length > maxBodyBytes
  );
  return oversizedTask === undefined ? undefined : createError(
    "body_too_large",
    `more than ${maxBodyBytes} bytes`,
    { path: `tasks.${oversizedTask.index}.body` },
  );
}
