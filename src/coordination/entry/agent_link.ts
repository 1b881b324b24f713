import {
  createError,
  type DispatchError,
  ERROR_RESPONSES,
  isErrorKind,
} from "../../state/errors/mod.ts";
import type { MemberState } from "../../state/view/mod.ts";
import type { MessageCounts } from "../../state/metrics/mod.ts";
import type { Timeline } from "../../state/timeline/mod.ts";
import { Heartbeats, type LogFollower, VIEW_LIMITS } from "../follower/mod.ts";
import { ClaimChannel } from "./claim_channel.ts";
import { PendingDispatches } from "./pending_dispatches.ts";
import type { PeerClient, PeerStream } from "../ports/mod.ts";
import type {
  CancelRequest,
  Dispatch,
  DispatchResult,
  PeerMessage,
} from "../messages/mod.ts";

/** Delay before a broken stream is reopened, in milliseconds. */
const RECONNECT_DELAY_MS = 100;

/**
 * Minimum time between two credit requests, in milliseconds. Heartbeats
 * report the demand every 500 ms anyway.
 */
const CREDIT_REQUEST_INTERVAL_MS = 200;

/**
 * Time after which an address that accepts no stream counts as unreachable, in
 * milliseconds. A process that merely restarts is back within this time.
 */
const UNREACHABLE_AFTER_MS = 1_000;

export interface AgentLinkOptions {
  member: MemberState;
  memberId: string;
  zone: string;
  /** Whether the entry places tasks on the agent. */
  wantsCredits: boolean;
  peers: PeerClient;
  follower: LogFollower;
  timeline: Timeline;
  /** Called when the stream has been established or has failed. */
  onChange: () => void;
  /** Called when the number of credits has changed. */
  onCreditsChange: (
    link: AgentLink,
    options: { hasIncreased: boolean },
  ) => void;
  /** Gets the number of waiting tasks to report to this agent. */
  getDemand: (link: AgentLink) => number;
  messages: MessageCounts;
}

/**
 * The entry's side of the stream to one agent. A broken stream is reopened, and
 * the pending dispatches are sent again on it. That is safe even for tasks that
 * aren't repeatable, because the agent records which tasks it has started.
 */
export class AgentLink {
  readonly #options: AgentLinkOptions;
  readonly #abortController = new AbortController();
  /** The claims that are pending at this agent. */
  readonly claims: ClaimChannel;
  readonly #dispatches = new PendingDispatches();
  #stream: PeerStream | undefined;
  /**
   * Time since which every stream has failed before the agent's first message.
   */
  #unreachableSince: number | undefined;
  #heartbeats: Heartbeats;
  #wantsCredits: boolean;
  #lastHeartbeatAt = performance.now();
  #credits = 0;
  #load = 0;
  #reportedQueued = 0;
  #creditsRequestedAt = -Infinity;
  #isRequestPending = false;
  #wastedRequests = 0;
  #isUp = false;

  constructor(options: AgentLinkOptions) {
    this.#options = options;
    this.#heartbeats = new Heartbeats(options.follower);
    this.#wantsCredits = options.wantsCredits;
    this.claims = new ClaimChannel({
      isUp: () => this.#isUp,
      send: (message) => this.#send(message),
      getViewAndClock: () => ({
        viewOffset: options.follower.view.offset,
        clock: options.timeline.advanceClock(),
      }),
    });
  }

  /**
   * Gets whether this entry places tasks on the agent and monitors it.
   * Otherwise the stream carries only claims.
   */
  get wantsCredits(): boolean {
    return this.#wantsCredits;
  }

  /** Gets the agent's member state. */
  get member(): MemberState {
    return this.#options.member;
  }

  /** Gets the number of unused credits. */
  get credits(): number {
    return this.#credits;
  }

  /**
   * Gets the number of tasks that run at the agent, as far as this entry knows.
   */
  get load(): number {
    return Math.max(this.#load, this.#dispatches.size);
  }

  /** Gets the number of waiting tasks last reported to the agent. */
  get reportedQueued(): number {
    return this.#reportedQueued;
  }

  /**
   * Returns whether credits may be requested now. The minimum time between
   * requests doubles with each one that yields no credit, up to a factor of 8.
   */
  canRequestCredits(): boolean {
    const intervalMs = CREDIT_REQUEST_INTERVAL_MS *
      2 ** Math.min(this.#wastedRequests, 3);
    return this.#isUp &&
      performance.now() - this.#creditsRequestedAt >= intervalMs;
  }

  /** Gets whether the agent has answered on the current stream. */
  get isUp(): boolean {
    return this.#isUp;
  }

  /** Gets the number of dispatches without a result. */
  get inFlight(): number {
    return this.#dispatches.size;
  }

  /**
   * Gets the offset of the agent's view as last reported; -1 before its first
   * heartbeat.
   */
  get confirmedOffset(): number {
    return this.#heartbeats.peerViewOffset;
  }

  /**
   * Gets the time since the agent's last heartbeat, in milliseconds. Returns
   * `Infinity` when every new stream has failed for more than
   * `UNREACHABLE_AFTER_MS`, because no process listens at the address then.
   */
  getHeartbeatAgeMs(): number {
    const now = performance.now();
    const isUnreachable =
      now - (this.#unreachableSince ?? now) > UNREACHABLE_AFTER_MS;
    return isUnreachable ? Infinity : now - this.#lastHeartbeatAt;
  }

  /** Keeps a stream to the agent open until the link is closed. */
  async run(): Promise<void> {
    while (!this.#abortController.signal.aborted) {
      const stream = this.#options.peers.open(this.member.peerAddress);
      this.#stream = stream;
      try {
        await this.#runStream(stream);
      } catch {
        // The stream broke. Failure detection relies on missing heartbeats, not
        // on a single broken stream.
      }
      stream.close();
      if (!this.#isUp) {
        this.#unreachableSince ??= performance.now();
      }
      this.#handleStreamDown();
      if (!this.#abortController.signal.aborted) {
        await new Promise((resolve) => setTimeout(resolve, RECONNECT_DELAY_MS));
      }
    }
  }

  #handleStreamDown(): void {
    this.#credits = 0;
    this.#reportedQueued = 0;
    this.claims.close();
    if (this.#isUp) {
      this.#isUp = false;
      this.#dispatches.handleStreamDown();
      this.#options.onCreditsChange(this, { hasIncreased: false });
      this.#options.onChange();
    }
  }

  /**
   * Sets whether the entry places tasks on the agent. A change reopens the
   * stream; the results of running tasks are still received.
   */
  setWantsCredits(wantsCredits: boolean): void {
    if (wantsCredits !== this.#wantsCredits) {
      this.#wantsCredits = wantsCredits;
      this.#lastHeartbeatAt = performance.now();
      this.#stream?.close();
    }
  }

  /**
   * Closes the link after the agent was removed or has left. Pending dispatches
   * fail with `agent_lost`.
   */
  close(): void {
    this.#abortController.abort();
    this.#stream?.close();
    const message = `agent ${this.member.id} was removed`;
    this.#dispatches.resolveAll(createError("agent_lost", message));
    this.claims.close();
  }

  /**
   * Sends an attempt. The returned promise resolves with its result.
   * @param task - The attempt.
   * @param options - `onStreamBroken` is called when the stream stays broken
   * while the result is pending.
   */
  dispatch(
    task: Omit<Dispatch, "dispatchId" | "queued" | "clock">,
    options: { onStreamBroken: () => void },
  ): { id: number; result: Promise<DispatchResult | DispatchError> } {
    const { message, result } = this.#dispatches.add(task, options);
    if (task.onCredit) {
      this.#credits--;
    }
    this.#load++;
    this.#options.onCreditsChange(this, { hasIncreased: false });
    this.#sendDispatch(message);
    return { id: message.dispatchId, result };
  }

  /** Requests credits by reporting the number of waiting tasks. */
  requestCredits(queued: number): void {
    this.#expirePendingRequest();
    this.#reportedQueued = queued;
    this.#creditsRequestedAt = performance.now();
    this.#isRequestPending = true;
    this.#send({ case: "want", value: { queued } });
  }

  /** Cancels a dispatch. Its result states whether the task had started. */
  cancel(cancel: CancelRequest): void {
    this.#dispatches.addCancel(cancel);
    this.#send({ case: "cancel", value: cancel });
  }

  /** Discards a dispatch whose result is no longer awaited. */
  removeDispatch(dispatchId: number): void {
    this.#dispatches.remove(dispatchId);
  }

  async #runStream(stream: PeerStream): Promise<void> {
    const { memberId, zone, follower } = this.#options;
    this.#heartbeats = new Heartbeats(follower);
    this.#send({
      case: "hello",
      value: { memberId, zone, wantsCredits: this.#wantsCredits },
    });
    if (this.#wantsCredits) {
      void this.#sendHeartbeats(stream);
    }
    for await (const message of stream.received) {
      this.#handle(message);
    }
  }

  async #sendHeartbeats(stream: PeerStream): Promise<void> {
    const { timeline } = this.#options;
    while (!stream.isClosed) {
      this.#expirePendingRequest();
      this.#reportedQueued = this.#options.getDemand(this);
      const clock = timeline.advanceClock();
      const value = this.#heartbeats.create(this.#reportedQueued, clock);
      this.#send({ case: "heartbeat", value });
      await new Promise((resolve) =>
        setTimeout(resolve, VIEW_LIMITS.heartbeatIntervalMs)
      );
    }
  }

  #handle(message: PeerMessage): void {
    switch (message.case) {
      case "hello":
        this.#handleHello(message.value.memberId);
        return;
      case "heartbeat":
        this.#options.timeline.mergeClock(message.value.clock);
        this.#lastHeartbeatAt = performance.now();
        this.#heartbeats.receive(message.value);
        this.#load = message.value.queued;
        return;
      case "credit":
        this.#isRequestPending = false;
        this.#wastedRequests = 0;
        this.#addCredits(message.value.count);
        return;
      case "creditRevoke":
        this.#handleCreditRevoke(message.value.count);
        return;
      case "result":
        this.#handleResult(message.value);
        return;
      case "claimReply":
        this.#options.timeline.mergeClock(message.value.clock);
        this.claims.handleClaimReply(message.value);
        return;
      case "completeReply":
        this.claims.handleCompleteReply(
          message.value.claimId,
          message.value.stored,
        );
        return;
      case "dispatch":
      case "cancel":
      case "creditReturn":
      case "want":
      case "claim":
      case "complete":
        return;
      default:
        return message satisfies never;
    }
  }

  #handleHello(memberId: string): void {
    if (memberId !== this.member.id) {
      // Another incarnation listens at this address; the pending results were
      // lost with the previous one.
      this.#stream?.close();
      return;
    }
    this.#unreachableSince = undefined;
    this.#isUp = true;
    for (const { message, cancel } of this.#dispatches.handleStreamUp()) {
      if (cancel !== undefined) {
        // Sent before the dispatch, so that the agent refuses to start the
        // task if the first dispatch was lost.
        this.#send({ case: "cancel", value: cancel });
      }
      this.#sendDispatch({ ...message, onCredit: false });
    }
    this.#options.onChange();
  }

  #handleResult(result: DispatchResult): void {
    this.#options.timeline.mergeClock(result.clock);
    this.#load = Math.max(0, this.#load - 1);
    if (isRefusal(result)) {
      this.#options.messages.recordWasted("dispatch");
      this.#options.messages.recordWasted("result");
    }
    this.#dispatches.resolve(result);
    this.#addCredits(result.credits);
  }

  /**
   * Returns unused credits. Each revocation is answered by exactly one return,
   * so that the agent can match them.
   */
  #handleCreditRevoke(requested: number): void {
    const count = Math.min(requested, this.#credits);
    this.#credits -= count;
    this.#options.onCreditsChange(this, { hasIncreased: false });
    this.#send({ case: "creditReturn", value: { count } });
  }

  /** Counts a pending credit request that has yielded no credit as wasted. */
  #expirePendingRequest(): void {
    if (this.#isRequestPending) {
      this.#isRequestPending = false;
      this.#wastedRequests++;
      this.#options.messages.recordWasted("want");
    }
  }

  #addCredits(count: number): void {
    if (count > 0) {
      this.#credits += count;
      this.#options.onCreditsChange(this, { hasIncreased: true });
    }
  }

  #sendDispatch(message: Dispatch): void {
    this.#reportedQueued = this.#options.getDemand(this);
    const value = {
      ...message,
      queued: this.#reportedQueued,
      clock: this.#options.timeline.advanceClock(),
    };
    this.#send({ case: "dispatch", value });
  }

  #send(message: PeerMessage): void {
    this.#options.messages.recordSent(message.case);
    this.#stream?.send(message);
  }
}

/** Returns whether the dispatch was refused without being cancelled. */
function isRefusal(result: DispatchResult): boolean {
  const kind = result.errorKind;
  return isErrorKind(kind) && kind !== "cancelled" &&
    ERROR_RESPONSES[kind].outcome === "not run";
}
