import {
  AdmissionControl,
  AgentPool,
  ClaimClient,
  JobCoordinator,
  QuotaShares,
  TaskDispatcher,
} from "../coordination/entry/mod.ts";
import { SnapshotWriter } from "../coordination/follower/mod.ts";
import { Announcer, FailureDetector } from "../coordination/membership/mod.ts";
import { HomeFinder } from "../state/homes/mod.ts";
import { MessageCounts } from "../state/metrics/mod.ts";
import { Timeline } from "../state/timeline/mod.ts";
import { ConnectPeerClient, PeerServer } from "../transport/peer/mod.ts";
import { announceMember } from "./announce_member.ts";
import { createMemberId } from "./create_member_id.ts";
import type { ProcessContext } from "./process_context.ts";
import { waitForView } from "./wait_for_view.ts";

/**
 * Longest wait for the log to accept the leave record when an entry stops, in
 * milliseconds.
 */
const LEAVE_TIMEOUT_MS = 5_000;

/**
 * Longest wait for the home agents of the keys to store the answers of an entry
 * that stops, in milliseconds.
 */
const STORE_TIMEOUT_MS = 10_000;

/**
 * Interval at which a stopping entry checks for open submissions, in
 * milliseconds.
 */
const CHECK_INTERVAL_MS = 20;

export interface EntryIncarnationOptions {
  context: ProcessContext;
  httpAddress: string;
}

/**
 * One membership of an entry, from its announcement until it leaves or is
 * removed.
 */
export class EntryIncarnation {
  readonly memberId: string;
  readonly timeline: Timeline;
  readonly coordinator: JobCoordinator;
  readonly #options: EntryIncarnationOptions;
  readonly #abort = new AbortController();
  readonly #claims: ClaimClient;
  readonly #pool: AgentPool;
  readonly #dispatcher: TaskDispatcher;
  readonly #peerServer: PeerServer;
  #announcementOffset = Infinity;
  #wasAnnounced = false;

  constructor(options: EntryIncarnationOptions) {
    const { context } = options;
    const { follower, settings, metrics } = context;
    this.#options = options;
    this.memberId = createMemberId(settings.name);
    this.timeline = new Timeline(this.memberId, {
      onRecord: (event) => context.timelineObserver.observe(event),
    });
    const quotas = new QuotaShares(follower.view);
    const homes = new HomeFinder(follower.view);
    this.#pool = new AgentPool({
      memberId: this.memberId,
      zone: settings.zone,
      peers: new ConnectPeerClient(),
      follower,
      timeline: this.timeline,
      onChange: () => dispatcher.handleAgentChange(),
      onCreditsGained: () => dispatcher.startPlaceableTasks(),
      onAgentUnavailable: (id) => dispatcher.removeAgent(id),
      getDemand: (link) => dispatcher.getDemand(link),
      messages: new MessageCounts(metrics),
    });
    const dispatcher = new TaskDispatcher({
      pool: this.#pool,
      timeline: this.timeline,
      getPlacementType: () => follower.view.settings.placement,
      quotas,
    });
    this.#dispatcher = dispatcher;
    this.#claims = new ClaimClient({
      memberId: this.memberId,
      follower,
      homes,
      pool: this.#pool,
    });
    this.coordinator = new JobCoordinator({
      view: follower.view,
      homes,
      claims: this.#claims,
      dispatcher,
      admission: new AdmissionControl({
        view: follower.view,
        pool: this.#pool,
        quotas,
        queue: dispatcher.queue,
        runTimes: dispatcher.runTimes,
        getRunningCount: (service) => dispatcher.getRunningCount(service),
      }),
      timeline: this.timeline,
    });
    this.#peerServer = new PeerServer({
      host: settings.host,
      port: settings.peerPort,
      serveStream: () => Promise.resolve(),
      handleGather: (request) => this.#claims.handleGather(request),
    });
    metrics.setGauge("tasks_waiting", () => dispatcher.queue.waiting);
    metrics.setGauge(
      "submissions_running",
      () => this.coordinator.runningSubmissions,
    );
  }

  /** Whether the entry is a live member. */
  get isReady(): boolean {
    return this.#wasAnnounced && !this.#abort.signal.aborted &&
      !this.wasRemoved;
  }

  /** Whether the entry was announced and then removed by other members. */
  get wasRemoved(): boolean {
    const { view } = this.#options.context.follower;
    return view.offset >= this.#announcementOffset &&
      !this.#abort.signal.aborted &&
      view.getMember(this.memberId) === undefined;
  }

  /** Announces the entry and opens its links to agents. */
  async start(): Promise<void> {
    const { context, httpAddress } = this.#options;
    const { settings, log, follower } = context;
    const { signal } = this.#abort;
    const offset = await announceMember(context, {
      id: this.memberId,
      role: "entry",
      httpAddress,
      services: [],
      slots: 0,
      peerServer: this.#peerServer,
      signal,
    });
    this.#announcementOffset = offset ?? Infinity;
    const isMember = () => follower.view.getMember(this.memberId) !== undefined;
    await waitForView(context, isMember, { signal });
    if (signal.aborted) {
      return;
    }
    this.#wasAnnounced = true;
    this.#pool.start();
    this.timeline.record("entry_started");
    const failureDetector = new FailureDetector({
      memberId: this.memberId,
      follower,
      log,
      getHeartbeatAges: () =>
        this.#pool.getSubsetLinks().map((link) => ({
          memberId: link.member.id,
          heartbeatAgeMs: link.getHeartbeatAgeMs(),
        })),
    });
    void failureDetector.run(signal);
    const snapshotWriter = new SnapshotWriter({
      memberId: this.memberId,
      follower,
      log,
      intervalMs: settings.snapshotIntervalMs,
    });
    void snapshotWriter.run(signal);
  }

  /**
   * Finishes the submissions that are still unanswered, then leaves the
   * cluster. No new submission may arrive after this call.
   */
  async stop(): Promise<void> {
    const { log, follower } = this.#options.context;
    this.coordinator.startDraining();
    while (this.coordinator.openSubmissions > 0) {
      await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
    }
    await this.#claims.flush(AbortSignal.timeout(STORE_TIMEOUT_MS));
    const announcer = new Announcer({ log, view: follower.view });
    await announcer.leave(
      this.memberId,
      "left",
      AbortSignal.timeout(LEAVE_TIMEOUT_MS),
    );
    this.close();
  }

  /** Closes all links immediately. */
  close(): void {
    this.#abort.abort();
    this.coordinator.close();
    this.#claims.stop();
    this.#dispatcher.stop();
    this.#pool.close();
    this.#peerServer.stop();
  }

  /** Gets the offsets that the linked agents have confirmed. */
  getConfirmedOffsets(): { [memberId: string]: number } {
    return Object.fromEntries(
      this.#pool.getSubsetLinks().map((
        link,
      ) => [link.member.id, link.confirmedOffset]),
    );
  }
}
