import { setTimeout as wait } from "node:timers/promises";
import type { Metrics } from "../../../state/metrics/mod.ts";
import type { EventLog } from "../../ports/mod.ts";
import type { BatchAgentLink } from "./batch_agent_link.ts";
import type { BatchJobRun } from "./batch_job_run.ts";
import type { JobClaims } from "./job_claims.ts";
import type { WarmUpGate } from "./warm_up_gate.ts";

/** Interval of the checks whether a job may be placed, in milliseconds. */
const CHECK_INTERVAL_MS = 10;

/** Delays of jobs that take longer are logged, in milliseconds. */
const LOGGED_HOLD_MS = 20;

export interface JobHoldOptions {
  log: EventLog;
  metrics: Metrics;
  warmUpGate: WarmUpGate;
  claims: JobClaims;
  /** Gets the links to the agents that this entry knows. */
  getLinks: () => readonly BatchAgentLink[];
}

/**
 * Holds jobs back until they may be placed: agents are usable after a start of
 * the entry, and no run of an earlier submission can be executing, which this
 * entry or another one has ordered.
 */
export class JobHold {
  readonly #options: JobHoldOptions;

  constructor(options: JobHoldOptions) {
    this.#options = options;
  }

  /**
   * Waits until a job may be placed or is answered.
   * @param former - The former run of the job here, if runs of it are left.
   */
  async wait(
    jobId: string,
    run: BatchJobRun,
    former: BatchJobRun | undefined,
  ): Promise<void> {
    const { warmUpGate, claims, log, metrics } = this.#options;
    if (
      warmUpGate.isOpen && former === undefined &&
      this.#findOpenLinks(jobId).length === 0 &&
      claims.canClaimWithOrders(jobId)
    ) {
      return;
    }
    const heldSince = performance.now();
    const answered = new AbortController();
    const { signal } = answered;
    void run.answer.then(() => answered.abort());
    run.startHoldTimer();
    await warmUpGate.wait(signal);
    const warmAt = performance.now();
    await Promise.race([former?.runsEnded, run.answer]);
    await claims.wait(jobId, signal);
    const isTakenOver = await this.#takeOver(jobId, signal);
    await claims.wait(jobId, signal);
    const now = performance.now();
    const hasFormerRuns = former !== undefined || isTakenOver;
    if (hasFormerRuns) {
      metrics.recordTime("former_runs", now - warmAt);
    }
    if (hasFormerRuns || now - heldSince >= LOGGED_HOLD_MS) {
      log.record("job_held", {
        job: jobId,
        heldMs: Math.round(now - heldSince),
        formerRunsMs: hasFormerRuns ? Math.round(now - warmAt) : undefined,
        isCancelled: signal.aborted,
      });
    }
  }

  /**
   * Has a job stopped at the agents that know it from another entry, whose client
   * has gone, and waits until they say that it has ended.
   * @returns Whether there were any.
   */
  async #takeOver(jobId: string, signal: AbortSignal): Promise<boolean> {
    const stoppedAt = new Set<BatchAgentLink>();
    for (;;) {
      const links = this.#findOpenLinks(jobId);
      if (links.length === 0 || signal.aborted) {
        return stoppedAt.size > 0;
      }
      for (const link of links.filter((open) => !stoppedAt.has(open))) {
        stoppedAt.add(link);
        link.cancelJob(jobId, "superseded");
        this.#options.log.record("job_taken_over", {
          job: jobId,
          agent: link.agentId,
        });
      }
      await wait(CHECK_INTERVAL_MS);
    }
  }

  /** Finds the agents that know a job from another entry. */
  #findOpenLinks(jobId: string): BatchAgentLink[] {
    return this.#options.getLinks().filter((link) => link.hasOpenJob(jobId));
  }
}
