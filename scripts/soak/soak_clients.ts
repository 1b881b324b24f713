import { setTimeout as wait } from "node:timers/promises";
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { sendJob, type SubmittedJob } from "../../platform/stand_in/mod.ts";
import { HttpClient } from "../../src/transport/http/mod.ts";
import type { DisturbanceHistory } from "./disturbance_history.ts";
import type { SoakEntry } from "./soak_entry.ts";
import { SOAK_LIMITS } from "./soak_limits.ts";
import type { SoakOracle } from "./soak_oracle.ts";
import type { SoakRoute } from "./soak_route.ts";
import type { SubmissionOutcome } from "./submission_outcome.ts";

/** Interval of jobs, in milliseconds: about half of the workers' capacity. */
const INTERVAL_MS = 25;

/** Wait before a job is sent again, in milliseconds; the platform's bound. */
const RESEND_MS = 1_300;

/** Most submissions of one job. */
const MAX_SUBMISSIONS = 3;

/** Time within which each job must be answered, in milliseconds. */
const ANSWER_MS = { min: 800, max: 2_500 } as const;

/** An entry that has not answered this long after that is a finding. */
const OVERDUE_MS = 3_000;

/**
 * An entry that stops may close a connection on which a request has just been
 * sent; the platform's bound, in milliseconds.
 */
const CLOSE_RACE_MS = 200;

/** Share of jobs whose client leaves, and of those that fit no worker. */
const PERCENT = { leaving: 4, unplaceable: 2 } as const;

export interface SoakClientsOptions {
  seed: number;
  entries: readonly SoakEntry[];
  oracle: SoakOracle;
  disturbances: DisturbanceHistory;
  /** Gets the routes that every entry serves by now. */
  getRoutes: () => readonly SoakRoute[];
}

/** Clients that submit jobs and keep their connections open. */
export class SoakClients {
  /** Jobs for each job of the usual rate. */
  rateFactor = 1;
  readonly #options: SoakClientsOptions;
  readonly #generator;
  readonly #caller = new HttpClient({ maxConnections: 64 });
  readonly #open = new Set<Promise<void>>();
  readonly #answers = new Map<string, number>();
  #jobs = 0;
  #isStopped = false;

  constructor(options: SoakClientsOptions) {
    this.#options = options;
    this.#generator = xoroshiro128plus(options.seed);
  }

  /** Gets the number of submissions by what became of them. */
  get outcomeCounts(): Record<string, number> {
    return Object.fromEntries(this.#answers);
  }

  /** Sends jobs until `stop` is called. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      this.#submit(this.#createJob());
      await wait(INTERVAL_MS / this.rateFactor);
    }
  }

  /** Sends no more new jobs, and waits for the open ones. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#open);
  }

  /** Sends ordinary jobs one after the other, and gets their ids. */
  async runProbeJobs(count: number): Promise<string[]> {
    const ids: string[] = [];
    for (let n = 0; n < count; n++) {
      const job = { ...this.#createJob(), cpuMillis: 2_000 };
      ids.push(job.id);
      await this.#submit(job, { isOrdinary: true });
    }
    return ids;
  }

  close(): void {
    this.#caller.close();
  }

  #getInt(from: number, to: number): number {
    return unsafeUniformIntDistribution(from, to, this.#generator);
  }

  #createJob(): SubmittedJob {
    this.#jobs++;
    const runMs = this.#getInt(20, 300);
    const isUnplaceable = this.#getInt(1, 100) <= PERCENT.unplaceable;
    return {
      id: this.#jobs.toString(16).padStart(16, "0"),
      spec: JSON.stringify({ job: this.#jobs, runMs }),
      tasksPerStep: this.#getInt(1, 6),
      steps: this.#getInt(1, 4) === 1 ? 2 : 1,
      cpuMillis: isUnplaceable ? 64_000 : 2_000,
      expectedMs: runMs,
    };
  }

  #submit(
    job: SubmittedJob,
    options: { isOrdinary?: boolean } = {},
  ): Promise<void> {
    const { oracle, getRoutes } = this.#options;
    const routes = getRoutes();
    const route = routes[this.#getInt(0, routes.length - 1)] as SoakRoute;
    oracle.addJob(job, route.service);
    const isLeaving = options.isOrdinary !== true &&
      this.#getInt(1, 100) <= PERCENT.leaving;
    const open = this.#runJob(job, route, isLeaving).finally(() =>
      this.#open.delete(open)
    );
    this.#open.add(open);
    return open;
  }

  async #runJob(
    job: SubmittedJob,
    route: SoakRoute,
    isLeaving: boolean,
  ): Promise<void> {
    for (let sent = 0; sent < MAX_SUBMISSIONS; sent++) {
      const outcome = await this.#send(job, route, isLeaving);
      this.#options.oracle.recordOutcome(job.id, outcome);
      const name = outcome.kind === "answer"
        ? `${outcome.status} ${outcome.state ?? ""}`.trim()
        : outcome.kind;
      this.#answers.set(name, (this.#answers.get(name) ?? 0) + 1);
      const isUnknown = outcome.kind === "broken" ||
        (outcome.kind === "answer" && [502, 504].includes(outcome.status));
      if (!isUnknown && outcome.kind !== "not_connected") {
        return;
      }
      await wait(RESEND_MS);
    }
  }

  async #send(
    job: SubmittedJob,
    route: SoakRoute,
    isLeaving: boolean,
  ): Promise<SubmissionOutcome> {
    const { entries, disturbances, oracle } = this.#options;
    const entry = entries[this.#getInt(0, entries.length - 1)] as SoakEntry;
    const { name } = entry.process;
    const timeoutMs = this.#getInt(ANSWER_MS.min, ANSWER_MS.max);
    const sentAt = performance.now();
    const reply = await sendJob({
      job,
      caller: this.#caller,
      address: entry.jobAddress,
      ...route,
      timeoutMs,
      waitMs: isLeaving ? timeoutMs / 8 : timeoutMs + OVERDUE_MS,
    });
    const tookMs = performance.now() - sentAt;
    const isCalm = disturbances.isUndisturbedSince(
      name,
      sentAt - SOAK_LIMITS.undisturbedAfterMs,
    );
    if (reply.isOk()) {
      const { status, state } = reply.value;
      const isKnownRoute = status !== 404;
      if (!isKnownRoute && isCalm && this.#isStoreCalm(sentAt)) {
        oracle.addViolation(
          `${job.id}: ${name} does not know ${route.pathPrefix}`,
        );
      }
      return state === undefined
        ? { kind: "answer", status }
        : { kind: "answer", status, state };
    }
    switch (reply.error.kind) {
      case "upstream_unreachable":
        return { kind: "not_connected" };
      case "timeout":
        if (isLeaving) {
          return { kind: "left" };
        }
        if (isCalm) {
          oracle.addViolation(`${job.id}: ${name} has not answered in time`);
        }
        return { kind: "no_answer" };
      default:
        if (isCalm && tookMs > CLOSE_RACE_MS) {
          oracle.addViolation(
            `${job.id}: ${name} broke the connection (${
              Math.round(tookMs)
            } ms after the request)`,
          );
        }
        return { kind: "broken" };
    }
  }

  #isStoreCalm(sentAt: number): boolean {
    return this.#options.disturbances.isUndisturbedSince(
      "store",
      sentAt - SOAK_LIMITS.undisturbedAfterMs,
    );
  }
}
