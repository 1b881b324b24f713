import { setTimeout as wait } from "node:timers/promises";
import type { CrashedRun } from "../../../state/batch/mod.ts";
import type { Metrics } from "../../../state/metrics/mod.ts";
import type {
  BatchFrame,
  CancelReason,
  JobGrant,
  WorkerCrashReport,
} from "../../messages/mod.ts";
import type {
  EventLog,
  KeyedStore,
  PeerConnector,
  PeerStream,
  WorkerControl,
} from "../../ports/mod.ts";
import {
  announceAgent,
  AnnouncementSchedule,
  OperatorFollower,
  type OperatorRecordParser,
} from "../directory/mod.ts";
import { BATCH_LIMITS } from "../batch_limits.ts";
import { AwaitedGrants } from "./awaited_grants.ts";
import { BatchEntrySession } from "./batch_entry_session.ts";
import { ClockOffsets } from "./clock_offsets.ts";
import { getStatusIntervalMs } from "./get_status_interval_ms.ts";
import { GrantNotifier } from "./grant_notifier.ts";
import { JobClaimTable } from "./job_claim_table.ts";
import { WorkerRunner } from "./worker_runner.ts";

/**
 * Interval at which the agent answers the pings of entries and checks whether
 * the entries still acknowledge its frames, in milliseconds.
 */
const SESSION_CHECK_INTERVAL_MS = BATCH_LIMITS.claimCheckIntervalMs;

/**
 * Longest wait of one read of the operator's records, in milliseconds. Entries
 * read more often, and their pings tell an agent that its state is outdated.
 */
const MAX_READ_WAIT_MS = 4_000;

/**
 * Number of crashes of the worker that an agent keeps, and tells to an entry
 * that connects.
 */
const MAX_KEPT_CRASHES = 20;

/** Longest wait for the runs to end when the agent stops, in milliseconds. */
const DRAIN_TIMEOUT_MS = 5_200;

/** Interval of the checks during that wait, in milliseconds. */
const DRAIN_CHECK_INTERVAL_MS = 50;

export interface BatchAgentOptions {
  name: string;
  /** Identifies one start of the process; differs after each restart. */
  incarnation: string;
  zone: string;
  /** IP address and port for streams from entries. */
  address: string;
  store: KeyedStore;
  control: WorkerControl;
  /** Opens streams to other agents. */
  peers: PeerConnector<BatchFrame>;
  /** Longest lease that the worker grants, in milliseconds. */
  maxLeaseMs: number;
  /** Receives the log events of this process. */
  log: EventLog;
  metrics: Metrics;
  parseOperatorRecord: OperatorRecordParser;
}

/**
 * The agent beside one worker: follows the operator's records, announces itself
 * in the store, and runs the tasks that entries send.
 */
export class BatchAgent {
  readonly runner: WorkerRunner;
  readonly operatorFollower: OperatorFollower;
  readonly #options: BatchAgentOptions;
  readonly #claims: JobClaimTable;
  readonly #clockOffsets = new ClockOffsets();
  readonly #awaitedGrants = new AwaitedGrants();
  readonly #grantNotifier: GrantNotifier;
  readonly #sessions = new Set<BatchEntrySession>();
  readonly #crashes: { id: string; at: number; runs: CrashedRun[] }[] = [];
  readonly #abortController = new AbortController();
  readonly #announcements = new AnnouncementSchedule();
  #isAnnouncing = false;
  #sessionCheckTimer: NodeJS.Timeout | undefined;
  #statusTimer: NodeJS.Timeout | undefined;
  #statusSentAt = 0;
  #heardEntryCount = 0;

  constructor(options: BatchAgentOptions) {
    this.#options = options;
    const { store, log, metrics, zone, control } = options;
    this.runner = new WorkerRunner({
      control,
      incarnation: options.incarnation,
      log,
      metrics,
      maxLeaseMs: options.maxLeaseMs,
      isInService: () => !this.operatorFollower.state.isZoneOut(zone),
      onChange: () => this.#scheduleStatus(),
      onCrash: (id, runs) => this.#reportCrash(id, [...runs]),
    });
    this.#claims = new JobClaimTable({
      log,
      findLatestRun: (jobId) => this.runner.findLatestRun(jobId),
      onGranted: (addresses, { owner, jobId, number, spec }) => {
        const { name: entry, incarnation } = owner;
        this.#sendGrant(addresses, {
          ...{ entry, incarnation, jobId, number },
          ...{ home: options.name, spec },
        });
      },
    });
    this.#grantNotifier = new GrantNotifier({ peers: options.peers, log });
    metrics.setGauge("jobs_claimed", () => this.#claims.size);
    this.operatorFollower = new OperatorFollower({
      store,
      log,
      metrics,
      parseOperatorRecord: options.parseOperatorRecord,
      onChange: () => this.runner.processQueue(),
      readWaitMs: MAX_READ_WAIT_MS,
    });
  }

  /**
   * Starts to follow the operator's records, announces the agent, and starts
   * the checks of the sessions.
   */
  start(): void {
    void this.operatorFollower.run();
    void this.#announce();
    this.#sessionCheckTimer = setInterval(() => {
      this.#claims.runPeriodicChecks();
      this.#awaitedGrants.runPeriodicChecks((awaited) =>
        this.runner.hasRunsWaitingFor(awaited)
      );
      for (const session of this.#sessions) {
        session.runPeriodicChecks();
      }
      this.#sendOpenJobs();
      this.#grantNotifier.runPeriodicChecks();
      this.#reportEntryCount();
      const entryCount = this.#countEntries();
      if (this.#announcements.isDue(performance.now(), entryCount)) {
        void this.#announce();
      }
    }, SESSION_CHECK_INTERVAL_MS);
  }

  async #announce(): Promise<void> {
    if (this.#isAnnouncing) {
      return;
    }
    this.#isAnnouncing = true;
    const { store, log, name, address, zone } = this.#options;
    await announceAgent({
      store,
      log,
      member: { name, address, zone },
      signal: this.#abortController.signal,
    });
    this.#announcements.recordAnnouncement(performance.now());
    this.#isAnnouncing = false;
  }

  /** Serves a stream from an entry or another agent until it ends. */
  async serve(stream: PeerStream<BatchFrame>): Promise<void> {
    const session = new BatchEntrySession({
      stream,
      runner: this.runner,
      claims: this.#claims,
      clockOffsets: this.#clockOffsets,
      operatorFollower: this.operatorFollower,
      awaitedGrants: this.#awaitedGrants,
      handleGrant: (grant) => this.#handleGrant(grant),
      log: this.#options.log,
      name: this.#options.name,
      incarnation: this.#options.incarnation,
      countHeardEntries: () => this.#countHeardEntries(),
      getCrashes: () =>
        this.#crashes.map(({ id, at, runs }) => ({
          id,
          ageMs: Math.round(performance.now() - at),
          runs,
        })),
      closeEarlierSessions: (later) => this.#closeEarlierSessions(later),
      requestAnnouncement: () => this.#announcements.request(),
      cancelJob: (jobId, requester, reason) =>
        this.#cancelJob(jobId, requester, reason),
      findOpenJobs: (other) => {
        const jobIds = this.#findOldJobs();
        return jobIds && this.#addClaimedJobs(jobIds, other);
      },
    });
    this.#sessions.add(session);
    try {
      await session.serve();
    } finally {
      this.#sessions.delete(session);
    }
  }

  /** Accepts no more runs, waits a limited time for the others, and stops. */
  async stop(): Promise<void> {
    this.runner.stopAccepting();
    for (
      let waitedMs = 0;
      waitedMs < DRAIN_TIMEOUT_MS;
      waitedMs += DRAIN_CHECK_INTERVAL_MS
    ) {
      if (this.runner.runCount === 0) {
        break;
      }
      await wait(DRAIN_CHECK_INTERVAL_MS);
    }
    this.#abortController.abort();
    this.operatorFollower.stop();
    clearInterval(this.#sessionCheckTimer);
    this.#grantNotifier.stop();
    this.runner.stop();
  }

  /** Tells the agents at the given addresses, which may include this one, of a grant. */
  #sendGrant(addresses: readonly string[], grant: JobGrant): void {
    for (const address of addresses) {
      if (address === this.#options.address) {
        this.#handleGrant(grant);
      } else {
        this.#grantNotifier.send(address, grant);
      }
    }
  }

  #handleGrant(grant: JobGrant): void {
    if (this.#awaitedGrants.handleNotice(grant)) {
      this.runner.processQueue();
    }
  }

  /**
   * Closes the sessions of earlier streams of the same entry.
   * @returns False if a later stream of the entry is open.
   */
  #closeEarlierSessions(session: BatchEntrySession): boolean {
    const sessions = [...this.#sessions];
    if (sessions.some((other) => session.isEarlierThan(other))) {
      return false;
    }
    sessions.filter((other) => other.isEarlierThan(session))
      .forEach((earlier) => earlier.close());
    return true;
  }

  #cancelJob(
    jobId: string,
    requester: BatchEntrySession,
    reason: CancelReason,
  ): void {
    const { log } = this.#options;
    const entry = requester.name;
    log.record("job_cancelled", { job: jobId, entry, reason });
    this.runner.cancelJob(jobId, requester, reason);
    this.#claims.cancel(jobId, requester, reason);
  }

  /** Finds the old jobs with runs here; undefined if not known yet. */
  #findOldJobs(): string[] | undefined {
    return this.runner.findOldJobs(BATCH_LIMITS.openJobAgeMs);
  }

  /** Adds to the jobs with runs here those that other entries have claimed. */
  #addClaimedJobs(jobIds: string[], session: BatchEntrySession): string[] {
    const claimed = this.#claims.findOldJobs(session);
    return claimed.length === 0
      ? jobIds
      : [...new Set([...jobIds, ...claimed])];
  }

  #sendOpenJobs(): void {
    const jobIds = this.#findOldJobs();
    if (jobIds === undefined) {
      return;
    }
    for (const session of this.#sessions) {
      session.sendOpenJobs(this.#addClaimedJobs(jobIds, session));
    }
  }

  /** Tells all entries, so that none starts the tasks as if for the first time. */
  #reportCrash(id: string, runs: CrashedRun[]): void {
    this.#crashes.push({ id, at: performance.now(), runs });
    if (this.#crashes.length > MAX_KEPT_CRASHES) {
      this.#crashes.shift();
    }
    const report: WorkerCrashReport = { id, ageMs: 0, runs };
    this.#sessions.forEach((session) => session.sendCrash(report));
  }

  /** Counts the connected entries; the other sessions are those of agents. */
  #countEntries(): number {
    return [...this.#sessions].filter(({ name }) => name !== "").length;
  }

  /** Counts the connected entries that are heard. */
  #countHeardEntries(): number {
    const heard = [...this.#sessions].filter((session) =>
      session.name !== "" && session.isHeard
    );
    return new Set(heard.map(({ name }) => name)).size;
  }

  /**
   * Tells the entries at once when this agent hears fewer of them: one that isn't heard
   * counts on the others to know that. More are told with the next status.
   */
  #reportEntryCount(): void {
    const former = this.#heardEntryCount;
    this.#heardEntryCount = this.#countHeardEntries();
    if (this.#heardEntryCount < former) {
      this.#sendStatus();
    }
  }

  #sendStatus(): void {
    this.#statusSentAt = performance.now();
    const status = this.runner.getStatus();
    for (const session of this.#sessions) {
      session.sendStatus(status, { canSkip: true });
    }
  }

  #scheduleStatus(): void {
    const entryCount = this.#countEntries();
    if (this.#statusTimer !== undefined || entryCount === 0) {
      return;
    }
    const intervalMs = getStatusIntervalMs(entryCount);
    const delayMs = this.#statusSentAt + intervalMs - performance.now();
    this.#statusTimer = setTimeout(() => {
      this.#statusTimer = undefined;
      this.#sendStatus();
    }, Math.max(0, delayMs));
  }
}
