import { OperatorState } from "../../../state/batch/mod.ts";
import type { Metrics } from "../../../state/metrics/mod.ts";
import type { EventLog, KeyedPage, KeyedStore } from "../../ports/mod.ts";
import type { OperatorRecordParser } from "./operator_record_parser.ts";
import { readOperatorPage } from "./read_operator_page.ts";
import { OperatorStateReader } from "./operator_state_reader.ts";
import { TopicFollower } from "./topic_follower.ts";

export interface OperatorFollowerOptions {
  store: KeyedStore;
  log: EventLog;
  metrics: Metrics;
  parseOperatorRecord: OperatorRecordParser;
  /** Called after the state has changed. */
  onChange: () => void;
  /** Longest wait of one read, in milliseconds. */
  readWaitMs?: number;
}

/**
 * Keeps the operator's state up to date, from the store and from peers with a
 * newer state. A process that can't read the store thus follows its peers.
 */
export class OperatorFollower {
  readonly state = new OperatorState();
  /** Reads the state from peers with a newer one. */
  readonly stateReader: OperatorStateReader;
  readonly #options: OperatorFollowerOptions;
  readonly #follower: TopicFollower;
  /** The state as it was last formatted for peers. */
  #snapshot: { offset: number; state: string } | undefined;

  constructor(options: OperatorFollowerOptions) {
    this.#options = options;
    this.#follower = new TopicFollower({
      topic: "operator",
      store: options.store,
      log: options.log,
      readWaitMs: options.readWaitMs,
      apply: (page, { isCompacted }) => this.#apply(page, isCompacted),
    });
    this.stateReader = new OperatorStateReader({
      log: options.log,
      getOffset: () => this.state.offset,
      isStoreReachable: () => this.#follower.isReachable !== false,
      getStoreBytes: () => this.#follower.receivedBytes,
      onRead: (snapshot, from) => this.#mergeSnapshot(snapshot, from),
    });
  }

  /** Follows the store until `stop` is called. */
  run(): Promise<void> {
    return this.#follower.run();
  }

  stop(): void {
    this.#follower.stop();
  }

  /** Gets the state in the form that is sent to peers. */
  getSnapshot(): { offset: number; state: string } {
    const { offset } = this.state;
    if (this.#snapshot?.offset !== offset) {
      this.#snapshot = { offset, state: this.state.formatSnapshot() };
    }
    return this.#snapshot;
  }

  /** Counts a part of the state that was sent to a peer. */
  recordSentPart(length: number): void {
    const { metrics } = this.#options;
    metrics.incrementCounter("operator_snapshot_sent_bytes", length);
  }

  /** Adopts the state of a peer if it is newer. */
  #mergeSnapshot(
    snapshot: { offset: number; state: string },
    from: string,
  ): void {
    const { metrics } = this.#options;
    const { length } = snapshot.state;
    metrics.incrementCounter("operator_snapshot_received_bytes", length);
    if (this.state.mergeSnapshot(snapshot.state, snapshot.offset)) {
      this.#handleChange(from);
    }
  }

  #apply(page: KeyedPage, isCompacted: boolean): void {
    const changes = readOperatorPage(page, this.#options);
    if (isCompacted) {
      this.state.applyNewestRecords(changes, page.end);
    } else {
      this.state.applyChanges(changes, page.end);
    }
    if (changes.length > 0) {
      this.#handleChange("store");
    }
  }

  #handleChange(from: string): void {
    this.#options.log.record("operator_state", {
      from,
      offset: this.state.offset,
      version: this.state.config?.version,
      zonesOut: [...this.state.zonesOut],
    });
    this.#options.onChange();
  }
}
