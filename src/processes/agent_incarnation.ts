import { ClaimService } from "../coordination/claims/mod.ts";
import {
  CapacityControl,
  CreditLedger,
  EntrySession,
  SessionTable,
  StartGate,
  TaskExecutor,
  type TaskResult,
} from "../coordination/agent/mod.ts";
import type { PeerStream } from "../coordination/ports/mod.ts";
import { Announcer, FailureDetector } from "../coordination/membership/mod.ts";
import { HomeFinder } from "../state/homes/mod.ts";
import { MessageCounts } from "../state/metrics/mod.ts";
import type { StartRecords } from "../state/starts/mod.ts";
import { Timeline } from "../state/timeline/mod.ts";
import { ConnectPeerClient, PeerServer } from "../transport/peer/mod.ts";
import { HttpUpstreamClient } from "../transport/upstream/mod.ts";
import { announceMember } from "./announce_member.ts";
import { createMemberId } from "./create_member_id.ts";
import type { ProcessContext } from "./process_context.ts";
import type { UpstreamAnnouncement } from "./upstream_announcement.ts";
import { waitForView } from "./wait_for_view.ts";

/**
 * Longest wait for the log to accept a leave record when an agent stops, in
 * milliseconds.
 */
const LEAVE_TIMEOUT_MS = 5_000;

/**
 * Longest wait for the entries to confirm a view offset or the receipt of the
 * results, in milliseconds.
 */
const CONFIRM_TIMEOUT_MS = 5_000;

/**
 * Interval at which a leaving agent checks for confirmations, in milliseconds.
 */
const CHECK_INTERVAL_MS = 20;

/**
 * Longest wait until the claims of a leaving agent have been handed over to the
 * agents that are the new homes of their keys, in milliseconds.
 */
const HANDOVER_TIMEOUT_MS = 10_000;

export interface AgentIncarnationOptions {
  context: ProcessContext;
  upstream: UpstreamAnnouncement;
  upstreamAddress: string;
  httpAddress: string;
  /**
   * Shared by all incarnations of the process, so that an attempt that has
   * started is still known as started after the agent rejoins.
   */
  startRecords: StartRecords<TaskResult>;
  /** Whether the process had an earlier incarnation. */
  isReturning: boolean;
}

/**
 * One membership of an agent, from its announcement until it leaves or is
 * removed.
 */
export class AgentIncarnation {
  readonly memberId: string;
  readonly timeline: Timeline;
  readonly #options: AgentIncarnationOptions;
  readonly #abort = new AbortController();
  readonly #startGate: StartGate;
  readonly #executor: TaskExecutor;
  readonly #credits: CreditLedger;
  readonly #capacity: CapacityControl;
  readonly #sessions = new SessionTable();
  readonly #claims: ClaimService;
  readonly #peerServer: PeerServer;
  readonly #messageCounts: MessageCounts;
  #announcementOffset = Infinity;
  #wasAnnounced = false;

  constructor(options: AgentIncarnationOptions) {
    const { context, upstream, startRecords } = options;
    const { follower, settings } = context;
    this.#options = options;
    this.#messageCounts = new MessageCounts(context.metrics);
    this.memberId = createMemberId(settings.name);
    this.timeline = new Timeline(this.memberId, {
      onRecord: (event) => context.timelineObserver.observe(event),
    });
    this.#startGate = new StartGate({ follower, memberId: this.memberId });
    this.#executor = new TaskExecutor({
      gate: this.#startGate,
      records: startRecords,
      upstream: new HttpUpstreamClient({
        address: options.upstreamAddress,
        maxConnections: settings.maxConnections,
      }),
      timeline: this.timeline,
      slots: upstream.slots,
    });
    this.#credits = new CreditLedger(upstream.slots);
    this.#capacity = new CapacityControl({
      credits: this.#credits,
      slots: upstream.slots,
      getRefusal: () => this.#startGate.getRefusal(),
      usesCredits: () =>
        (follower.view.settings.placement ?? "credits") === "credits",
      isReturning: options.isReturning,
    });
    const homes = new HomeFinder(follower.view);
    this.#claims = new ClaimService({
      follower,
      homes,
      memberId: this.memberId,
      zone: settings.zone,
      peers: new ConnectPeerClient(),
      departureHistory: context.departureHistory,
      getStartedKeys: () => startRecords.getStartedKeys(),
    });
    this.#peerServer = new PeerServer({
      host: settings.host,
      port: settings.peerPort,
      serveStream: (stream) => this.#serve(stream),
      handleGather: (request) => this.#claims.handleGather(request),
    });
    follower.addListener((event) => {
      if (event.type === "left" || event.type === "removed") {
        this.#sessions.closeSession(event.member.id);
        this.#sessions.removeHeartbeatTime(event.member.id);
      }
      if (this.#wasAnnounced) {
        this.#capacity.apply();
      }
    });
  }

  /** Whether the agent is a live member. */
  get isReady(): boolean {
    return this.#options.context.follower.view.getMember(this.memberId)
      ?.phase === "live";
  }

  /** Whether the agent was announced and then removed by other members. */
  get wasRemoved(): boolean {
    const { view } = this.#options.context.follower;
    return view.offset >= this.#announcementOffset &&
      !this.#abort.signal.aborted &&
      view.getMember(this.memberId) === undefined;
  }

  /** Announces the agent and starts serving. */
  async start(): Promise<void> {
    const { context, upstream, httpAddress } = this.#options;
    const { log, follower } = context;
    const { signal } = this.#abort;
    const offset = await announceMember(context, {
      id: this.memberId,
      role: "agent",
      processId: context.processId,
      httpAddress,
      services: upstream.services,
      slots: upstream.slots,
      peerServer: this.#peerServer,
      signal,
    });
    this.#announcementOffset = offset ?? Infinity;
    await waitForView(context, () => this.isReady, { signal });
    if (signal.aborted) {
      return;
    }
    this.#wasAnnounced = true;
    void this.#capacity.run(signal);
    this.timeline.record("agent_started");
    const failureDetector = new FailureDetector({
      memberId: this.memberId,
      follower,
      log,
      getHeartbeatAges: () => this.#sessions.getHeartbeatAges(),
    });
    void failureDetector.run(signal);
  }

  /** Finishes the running tasks, delivers their results and leaves. */
  async stop(): Promise<void> {
    const { log, follower } = this.#options.context;
    const announcer = new Announcer({ log, view: follower.view });
    const timeout = AbortSignal.timeout(LEAVE_TIMEOUT_MS);
    this.#capacity.stop();
    await announcer.leave(this.memberId, "leaving", timeout);
    await this.#waitForViewConfirmations();
    this.#startGate.startDraining();
    await this.#executor.waitForIdle();
    await this.#claims.waitForHandover(
      AbortSignal.timeout(HANDOVER_TIMEOUT_MS),
    );
    const deliveryChecks = this.#sessions.getAll().map((session) =>
      session.createDeliveryCheck()
    );
    await waitUntil(() => deliveryChecks.every((isDelivered) => isDelivered()));
    await announcer.leave(
      this.memberId,
      "left",
      AbortSignal.timeout(LEAVE_TIMEOUT_MS),
    );
    this.close();
  }

  /**
   * Waits until the entries have confirmed that this agent is leaving. After
   * that no dispatch is in flight.
   */
  async #waitForViewConfirmations(): Promise<void> {
    const { view } = this.#options.context.follower;
    await waitUntil(() => view.getMember(this.memberId)?.phase !== "live");
    const offset = view.epoch;
    await waitUntil(() =>
      this.#sessions.getAll().every((session) => session.hasConfirmed(offset))
    );
  }

  /** Closes all streams immediately. */
  close(): void {
    this.#abort.abort();
    this.#claims.stop();
    for (const session of this.#sessions.getAll()) {
      session.close();
    }
    this.#peerServer.stop();
  }

  /** Gets the offsets that the connected entries have confirmed. */
  getConfirmedOffsets(): { [memberId: string]: number } {
    return Object.fromEntries(
      this.#sessions.getAll().map((
        session,
      ) => [session.entryId, session.confirmedOffset]),
    );
  }

  #serve(stream: PeerStream): Promise<void> {
    const { context } = this.#options;
    const session = new EntrySession({
      stream,
      memberId: this.memberId,
      zone: context.settings.zone,
      follower: context.follower,
      executor: this.#executor,
      credits: this.#credits,
      claims: this.#claims,
      sessions: this.#sessions,
      timeline: this.timeline,
      messages: this.#messageCounts,
    });
    return session.run();
  }
}

async function waitUntil(isReached: () => boolean): Promise<void> {
  const deadline = performance.now() + CONFIRM_TIMEOUT_MS;
  while (!isReached() && performance.now() < deadline) {
    await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
  }
}
