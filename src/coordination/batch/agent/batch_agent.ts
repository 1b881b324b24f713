import { setTimeout as wait } from "node:timers/promises";
import type { Metrics } from "../../../state/metrics/mod.ts";
import type {
  EventLog,
  KeyedStore,
  PeerStream,
  WorkerControl,
} from "../../ports/mod.ts";
import {
  announceAgent,
  OperatorFollower,
  type OperatorRecordParser,
} from "../directory/mod.ts";
import { BatchEntrySession } from "./batch_entry_session.ts";
import { WorkerRunner } from "./worker_runner.ts";

/** Interval of the checks of the sessions, in milliseconds. */
const TICK_MS = 50;

/**
 * Shortest interval of status frames to all entries, in milliseconds for each
 * entry that listens: an agent sends as many of them with many entries as with
 * few. An entry whose run ends gets a status at once.
 */
const STATUS_INTERVAL_PER_ENTRY_MS = 25;

/**
 * Longest wait of one read of the operator's records, in milliseconds. Entries
 * read more often, and their pings tell an agent that is behind.
 */
const READ_WAIT_MS = 4_000;

/** Time for runs at work when the agent is asked to stop, in milliseconds. */
const DRAIN_MS = 5_200;

/** Interval of the check whether runs are left, in milliseconds. */
const DRAIN_CHECK_MS = 50;

export interface BatchAgentOptions {
  name: string;
  incarnation: string;
  zone: string;
  /** IP address and port for streams from entries. */
  address: string;
  store: KeyedStore;
  control: WorkerControl;
  /** Longest lease that the worker grants, in milliseconds. */
  maxLeaseMs: number;
  log: EventLog;
  metrics: Metrics;
  parseOperatorRecord: OperatorRecordParser;
}

/**
 * The agent beside one worker: follows the operator, announces itself, and runs
 * the tasks that entries send.
 */
export class BatchAgent {
  readonly runner: WorkerRunner;
  readonly operator: OperatorFollower;
  readonly #options: BatchAgentOptions;
  readonly #sessions = new Set<BatchEntrySession>();
  readonly #abort = new AbortController();
  #tickTimer: NodeJS.Timeout | undefined;
  #statusTimer: NodeJS.Timeout | undefined;
  #statusSentAt = 0;

  constructor(options: BatchAgentOptions) {
    this.#options = options;
    const { store, log, metrics, zone, control } = options;
    this.runner = new WorkerRunner({
      control,
      log,
      metrics,
      maxLeaseMs: options.maxLeaseMs,
      isInService: () => !this.operator.state.isZoneOut(zone),
      onChange: () => this.#scheduleStatus(),
    });
    this.operator = new OperatorFollower({
      store,
      log,
      parseOperatorRecord: options.parseOperatorRecord,
      onChange: () => this.runner.processQueue(),
      readWaitMs: READ_WAIT_MS,
    });
  }

  /** Starts to follow the store and to watch the entries. */
  start(): void {
    const { store, log, name, address, zone } = this.#options;
    void this.operator.run();
    void announceAgent({
      store,
      log,
      member: { name, address, zone },
      signal: this.#abort.signal,
    });
    this.#tickTimer = setInterval(() => {
      for (const session of this.#sessions) {
        session.tick();
      }
    }, TICK_MS);
  }

  /** Serves a stream from an entry until it ends. */
  async serve(stream: PeerStream): Promise<void> {
    const session = new BatchEntrySession({
      stream,
      runner: this.runner,
      operator: this.operator,
      log: this.#options.log,
      name: this.#options.name,
      incarnation: this.#options.incarnation,
      countSessions: () => this.#sessions.size,
      cancelJob: (jobId) => this.#cancelJob(jobId),
    });
    this.#sessions.add(session);
    try {
      await session.serve();
    } finally {
      this.#sessions.delete(session);
    }
  }

  /** Takes no more work, and waits for the runs at work for a limited time. */
  async stop(): Promise<void> {
    this.runner.stopAccepting();
    for (let waited = 0; waited < DRAIN_MS; waited += DRAIN_CHECK_MS) {
      if (this.runner.runCount === 0) {
        break;
      }
      await wait(DRAIN_CHECK_MS);
    }
    this.#abort.abort();
    this.operator.stop();
    clearInterval(this.#tickTimer);
    this.runner.stop();
  }

  #cancelJob(jobId: string): void {
    this.#options.log.record("job_cancelled", { job: jobId });
    this.runner.stopWhere((run) => run.jobId === jobId);
  }

  #scheduleStatus(): void {
    if (this.#statusTimer !== undefined || this.#sessions.size === 0) {
      return;
    }
    const interval = STATUS_INTERVAL_PER_ENTRY_MS * this.#sessions.size;
    const due = this.#statusSentAt + interval - performance.now();
    this.#statusTimer = setTimeout(() => {
      this.#statusTimer = undefined;
      this.#statusSentAt = performance.now();
      const status = this.runner.getStatus();
      for (const session of this.#sessions) {
        session.sendStatus(status);
      }
    }, Math.max(0, due));
  }
}
