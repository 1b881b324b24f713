import { setTimeout as wait } from "node:timers/promises";
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import { sendJob, type SubmittedJob } from "../../platform/stand_in/mod.ts";
import { Relay } from "../lib/relay.ts";
import { HttpClient } from "../../src/transport/http/mod.ts";
import type { DisturbanceHistory } from "./disturbance_history.ts";
import type { SoakEntry } from "./soak_entry.ts";
import { SOAK_LIMITS } from "./soak_limits.ts";
import type { SoakOracle } from "./soak_oracle.ts";
import type { SoakRoute } from "./soak_route.ts";
import type { SubmissionOutcome } from "./submission_outcome.ts";
import { WORKER_KINDS } from "./worker_kinds.ts";

/** Interval of jobs; uses about half of the workers' capacity. */
const JOB_INTERVAL_MS = 25;

/** Delay before a job is sent again; the bound that the platform states. */
const RESEND_DELAY_MS = 1_300;

/** Maximum number of submissions of one job. */
const MAX_SUBMISSIONS = 3;

/** Range of the jobs' timeouts, within which they must be answered. */
const JOB_TIMEOUT_MS = { min: 800, max: 2_500 } as const;

/** Delay after the timeout at which a missing answer is a violation. */
const OVERDUE_MS = 3_000;

/**
 * Time after a request during which an entry that stops may still close the
 * connection without an answer; the bound that the platform states.
 */
const CLOSE_RACE_MS = 200;

/** Percentages of jobs whose client disconnects early or that fit no worker. */
const JOB_PERCENT = { disconnecting: 4, unplaceable: 2 } as const;

/**
 * Percentages of jobs that require a kind of worker, and whose last step is a group, and
 * the number of steps of the latter.
 */
const JOB_SHAPE = {
  labelPercent: 15,
  groupPercent: 15,
  groupSteps: 3,
} as const;

/** Keeps the generator of the jobs' shapes apart from the others of a seed. */
const SHAPE_SEED_OFFSET = 2_000_003;

/** Jobs that are sent to a second entry while the first one may still have them. */
const RESENT_JOBS = {
  count: 4,
  runMs: [700, 1_600],
  timeoutMs: 6_000,
  /** Times after which a first connection is reset. */
  resetAfterMs: [100, 1_200],
} as const;

/** Of so many jobs, one has a task that crashes each worker that starts it. */
const CRASHING_JOB_INTERVAL = 150;

export interface SoakClientsOptions {
  seed: number;
  entries: readonly SoakEntry[];
  oracle: SoakOracle;
  disturbanceHistory: DisturbanceHistory;
  /** Gets the routes that every undisturbed entry serves by now. */
  getRoutes: () => readonly SoakRoute[];
}

interface SendOptions {
  /** Address of the entry, or of a relay before it. */
  address?: string;
  client?: HttpClient;
  /** Time until the job's deadline; by default it is random. */
  timeoutMs?: number;
  /** How the client's connection ends before the answer, if it does. */
  leaves?: "timeout" | "reset" | undefined;
}

/** Simulates clients that submit jobs over persistent connections. */
export class SoakClients {
  /** Factor applied to the usual rate of jobs. */
  rateFactor = 1;
  readonly #options: SoakClientsOptions;
  readonly #generator;
  /** Generator for jobs that are sent again. */
  readonly #resendGenerator;
  /** Generator for what jobs require of workers, and how their steps depend. */
  readonly #shapeGenerator;
  readonly #httpClient = new HttpClient({ maxConnections: 64 });
  /** Client of the jobs that are sent again, which wait longer for answers. */
  readonly #resendClient = new HttpClient({ maxConnections: 64 });
  readonly #pendingJobs = new Set<Promise<void>>();
  readonly #outcomeCounts = new Map<string, number>();
  #jobCount = 0;
  #resentJobCount = 0;
  #isStopped = false;

  constructor(options: SoakClientsOptions) {
    this.#options = options;
    this.#generator = xoroshiro128plus(options.seed);
    this.#resendGenerator = xoroshiro128plus(~options.seed);
    this.#shapeGenerator = xoroshiro128plus(options.seed + SHAPE_SEED_OFFSET);
  }

  /** Gets the number of submissions by outcome. */
  get outcomeCounts(): Record<string, number> {
    return Object.fromEntries(this.#outcomeCounts);
  }

  /** Sends jobs until `stop` is called. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      this.#submit(this.#createJob());
      await wait(JOB_INTERVAL_MS / this.rateFactor);
    }
  }

  /** Stops sending new jobs, and waits for the pending ones. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#pendingJobs);
  }

  /**
   * Sends jobs that fit every worker one after the other, and waits for each.
   * @returns The ids of the jobs.
   */
  async runProbeJobs(count: number): Promise<string[]> {
    const ids: string[] = [];
    for (let n = 0; n < count; n++) {
      const job = {
        ...this.#createJob(),
        cpuMillis: 2_000,
        crashesWorkers: false,
        requiredLabel: undefined,
      };
      ids.push(job.id);
      await this.#submit(job, { isProbe: true });
    }
    return ids;
  }

  /**
   * Submits jobs to the entry `target`, and 1.3 s later to another one if they
   * have no answer yet. Their first connections stay open, or are reset.
   */
  submitResentJobs(
    options: { target: number; isReset: boolean },
  ): { ids: string[]; ended: Promise<void> } {
    const { entries, oracle, getRoutes } = this.#options;
    const { target, isReset } = options;
    const routes = getRoutes();
    const ids: string[] = [];
    const ended: Promise<void>[] = [];
    for (let n = 0; n < RESENT_JOBS.count; n++) {
      const route = routes[this.#getResendInt([0, routes.length - 1])];
      const job = this.#createResentJob();
      oracle.addJob(job, (route as SoakRoute).service);
      ids.push(job.id);
      const first = entries[target] as SoakEntry;
      const second = entries[
        (target + this.#getResendInt([1, Math.max(1, entries.length - 1)])) %
        entries.length
      ] as SoakEntry;
      ended.push(
        this.#runResentJob(job, route as SoakRoute, {
          entries: [first, second],
          resetAfterMs: isReset
            ? this.#getResendInt(RESENT_JOBS.resetAfterMs)
            : undefined,
        }),
      );
    }
    return { ids, ended: Promise.all(ended).then(() => {}) };
  }

  close(): void {
    this.#httpClient.close();
    this.#resendClient.close();
  }

  #getInt(from: number, to: number): number {
    return unsafeUniformIntDistribution(from, to, this.#generator);
  }

  #getShapeInt(from: number, to: number): number {
    return unsafeUniformIntDistribution(from, to, this.#shapeGenerator);
  }

  #getResendInt(range: readonly [number, number]): number {
    return unsafeUniformIntDistribution(...range, this.#resendGenerator);
  }

  #createResentJob(): SubmittedJob {
    this.#resentJobCount++;
    return {
      id: `f${this.#resentJobCount.toString(16).padStart(15, "0")}`,
      spec: `resent ${this.#resentJobCount}`,
      tasksPerStep: this.#getResendInt([1, 4]),
      steps: this.#getResendInt([1, 2]),
      cpuMillis: 2_000,
      expectedMs: this.#getResendInt(RESENT_JOBS.runMs),
    };
  }

  #createJob(): SubmittedJob {
    this.#jobCount++;
    const runMs = this.#getInt(20, 300);
    const isUnplaceable = this.#getInt(1, 100) <= JOB_PERCENT.unplaceable;
    const tasksPerStep = this.#getInt(1, 6);
    const steps = this.#getInt(1, 4) === 1 ? 2 : 1;
    const endsInGroup = this.#getShapeInt(1, 100) <= JOB_SHAPE.groupPercent;
    return {
      id: this.#jobCount.toString(16).padStart(16, "0"),
      spec: JSON.stringify({ job: this.#jobCount, runMs }),
      tasksPerStep,
      steps: endsInGroup ? JOB_SHAPE.groupSteps : steps,
      cpuMillis: isUnplaceable ? 64_000 : 2_000,
      expectedMs: runMs,
      crashesWorkers: this.#jobCount % CRASHING_JOB_INTERVAL === 0,
      endsInGroup,
      requiredLabel: this.#selectLabel(),
    };
  }

  #selectLabel(): string | undefined {
    const index = this.#getShapeInt(0, WORKER_KINDS.length - 1);
    return this.#getShapeInt(1, 100) <= JOB_SHAPE.labelPercent
      ? WORKER_KINDS[index]
      : undefined;
  }

  #submit(
    job: SubmittedJob,
    options: { isProbe?: boolean } = {},
  ): Promise<void> {
    const { oracle, getRoutes } = this.#options;
    const routes = getRoutes();
    const route = routes[this.#getInt(0, routes.length - 1)] as SoakRoute;
    oracle.addJob(job, route.service);
    const disconnectsEarly = options.isProbe !== true &&
      this.#getInt(1, 100) <= JOB_PERCENT.disconnecting;
    const pending = this.#runJob(job, route, disconnectsEarly).finally(() =>
      this.#pendingJobs.delete(pending)
    );
    this.#pendingJobs.add(pending);
    return pending;
  }

  /**
   * Sends a job until its outcome is known. A client that disconnects early sends
   * it again at once to the same entry, which may still be stopping its runs.
   */
  async #runJob(
    job: SubmittedJob,
    route: SoakRoute,
    disconnectsEarly: boolean,
  ): Promise<void> {
    let lastEntry: SoakEntry | undefined;
    for (let attempt = 0; attempt < MAX_SUBMISSIONS; attempt++) {
      const entry = lastEntry ?? this.#selectEntry();
      const leaves = disconnectsEarly && attempt === 0;
      const outcome = await this.#send(job, route, entry, {
        leaves: leaves ? "timeout" : undefined,
      });
      this.#recordOutcome(job, outcome);
      if (leaves && outcome.kind === "left") {
        lastEntry = entry;
        continue;
      }
      if (!canSendAgain(outcome)) {
        return;
      }
      lastEntry = undefined;
      await wait(RESEND_DELAY_MS);
    }
  }

  async #runResentJob(
    job: SubmittedJob,
    route: SoakRoute,
    options: {
      entries: readonly [SoakEntry, SoakEntry];
      resetAfterMs: number | undefined;
    },
  ): Promise<void> {
    const { entries: [firstEntry, secondEntry], resetAfterMs } = options;
    const sendOptions = {
      client: this.#resendClient,
      timeoutMs: RESENT_JOBS.timeoutMs,
    };
    let firstOutcome: SubmissionOutcome | undefined;
    const sendFirst = async () => {
      firstOutcome = resetAfterMs === undefined
        ? await this.#send(job, route, firstEntry, sendOptions)
        : await this.#sendWithReset(job, route, firstEntry, resetAfterMs);
      this.#recordOutcome(job, firstOutcome);
    };
    const first = sendFirst();
    await wait(RESEND_DELAY_MS);
    if (firstOutcome === undefined || canSendAgain(firstOutcome)) {
      const outcome = await this.#send(job, route, secondEntry, sendOptions);
      this.#recordOutcome(job, outcome);
    }
    await first;
  }

  /** Sends a job over a connection that is reset after some time. */
  async #sendWithReset(
    job: SubmittedJob,
    route: SoakRoute,
    entry: SoakEntry,
    resetAfterMs: number,
  ): Promise<SubmissionOutcome> {
    const relay = new Relay(entry.jobAddress);
    const address = await relay.start();
    const timer = setTimeout(() => relay.resetConnections(), resetAfterMs);
    const outcome = await this.#send(job, route, entry, {
      ...{ address, timeoutMs: RESENT_JOBS.timeoutMs, leaves: "reset" },
      client: this.#resendClient,
    });
    clearTimeout(timer);
    relay.stop();
    return outcome;
  }

  #recordOutcome(job: SubmittedJob, outcome: SubmissionOutcome): void {
    this.#options.oracle.recordOutcome(job.id, outcome);
    const name = outcome.kind === "answer"
      ? `${outcome.status} ${outcome.state ?? ""}`.trim()
      : outcome.kind;
    this.#outcomeCounts.set(name, (this.#outcomeCounts.get(name) ?? 0) + 1);
  }

  #selectEntry(): SoakEntry {
    const { entries } = this.#options;
    return entries[this.#getInt(0, entries.length - 1)] as SoakEntry;
  }

  async #send(
    job: SubmittedJob,
    route: SoakRoute,
    entry: SoakEntry,
    options: SendOptions = {},
  ): Promise<SubmissionOutcome> {
    const { disturbanceHistory, oracle } = this.#options;
    const { name } = entry.process;
    const {
      client = this.#httpClient,
      address = entry.jobAddress,
      timeoutMs = this.#getInt(JOB_TIMEOUT_MS.min, JOB_TIMEOUT_MS.max),
      leaves,
    } = options;
    const sentAt = performance.now();
    const reply = await sendJob({
      job,
      client,
      address,
      ...route,
      deadlineMs: timeoutMs,
      clientTimeoutMs: leaves === "timeout"
        ? timeoutMs / 8
        : timeoutMs + OVERDUE_MS,
    });
    const tookMs = performance.now() - sentAt;
    const isUndisturbed = disturbanceHistory.isUndisturbedSince(
      name,
      sentAt - SOAK_LIMITS.undisturbedAfterMs,
    );
    if (reply.isOk()) {
      const { status, state } = reply.value;
      const isKnownRoute = status !== 404;
      if (!isKnownRoute && isUndisturbed && this.#isStoreUndisturbed(sentAt)) {
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
        if (leaves === "timeout") {
          return { kind: "left" };
        }
        if (isUndisturbed) {
          oracle.addViolation(`${job.id}: ${name} has not answered in time`);
        }
        return { kind: "no_answer" };
      default:
        if (leaves === "reset") {
          return { kind: "left" };
        }
        if (isUndisturbed && tookMs > CLOSE_RACE_MS) {
          oracle.addViolation(
            `${job.id}: ${name} broke the connection (${
              Math.round(tookMs)
            } ms after the request)`,
          );
        }
        return { kind: "broken" };
    }
  }

  #isStoreUndisturbed(sentAt: number): boolean {
    return this.#options.disturbanceHistory.isUndisturbedSince(
      "store",
      sentAt - SOAK_LIMITS.undisturbedAfterMs,
    );
  }
}

/** Returns whether a client sends a job again after an outcome. */
function canSendAgain(outcome: SubmissionOutcome): boolean {
  return outcome.kind === "answer"
    ? [502, 504].includes(outcome.status)
    : outcome.kind !== "no_answer";
}
