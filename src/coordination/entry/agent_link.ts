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
import { OpenDispatches } from "./open_dispatches.ts";
import type { PeerClient, PeerStream } from "../ports/mod.ts";
import type {
  CancelRequest,
  Dispatch,
  DispatchResult,
  PeerMessage,
} from "../messages/mod.ts";

/** Wait before a broken stream is opened again, in milliseconds. */
const RECONNECT_DELAY_MS = 100;

/**
 * Shortest time between two wants, in milliseconds; heartbeats tell the queue
 * every 500 ms.
 */
const WANT_INTERVAL_MS = 200;

/**
 * Refused streams count as silence after this time, in milliseconds. A process
 * that only restarts is back.
 */
const MAX_REFUSED_MS = 1_000;

export interface AgentLinkOptions {
  member: MemberState;
  memberId: string;
  zone: string;
  /** Does the entry place tasks on the agent? */
  wantsCredits: boolean;
  peers: PeerClient;
  follower: LogFollower;
  timeline: Timeline;
  /** Called when the stream has come up or gone down. */
  onChange: () => void;
  /** Called when the number of credits has changed. */
  onCreditsChange: (
    link: AgentLink,
    options: { hasIncreased: boolean },
  ) => void;
  /** Gets the number of waiting tasks that this agent is told. */
  getDemand: (link: AgentLink) => number;
  messages: MessageCounts;
}

/**
 * The entry's side of the stream to one agent. A broken stream is opened again,
 * and the open dispatches are sent again on it: the agent's start records make
 * that safe, also for tasks that aren't repeatable.
 */
export class AgentLink {
  readonly #options: AgentLinkOptions;
  readonly #abort = new AbortController();
  /** The claims at this agent. */
  readonly claims: ClaimChannel;
  readonly #dispatches = new OpenDispatches();
  #stream: PeerStream | undefined;
  /**
   * Time since which every stream has ended before the agent's first message.
   */
  #refusedSince: number | undefined;
  #heartbeats: Heartbeats;
  #wantsCredits: boolean;
  #heardAt = performance.now();
  #credits = 0;
  #load = 0;
  #toldQueued = 0;
  #wantedAt = -Infinity;
  #isWantOpen = false;
  #wastedWants = 0;
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
   * Does this entry place tasks on the agent, and watch it? Otherwise the
   * stream carries only claims.
   */
  get wantsCredits(): boolean {
    return this.#wantsCredits;
  }

  /** Gets the agent. */
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

  /** Gets the queued count that the agent was last told. */
  get reportedQueued(): number {
    return this.#toldQueued;
  }

  /**
   * May a want be sent now? One that brings no credit doubles the time to the
   * next.
   */
  canRequestCredits(): boolean {
    const interval = WANT_INTERVAL_MS * 2 ** Math.min(this.#wastedWants, 3);
    return this.#isUp && performance.now() - this.#wantedAt >= interval;
  }

  /** Has the agent answered on the current stream? */
  get isUp(): boolean {
    return this.#isUp;
  }

  /** Gets the number of dispatches without a result. */
  get inFlight(): number {
    return this.#dispatches.size;
  }

  /**
   * Gets the offset that the agent's view has confirmed; -1 before its first
   * heartbeat.
   */
  get confirmedOffset(): number {
    return this.#heartbeats.peerOffset;
  }

  /**
   * Gets the time since the agent's last heartbeat, in milliseconds. An address
   * that has refused every new stream for a while has no process any more, so
   * it counts as silent at once.
   */
  getSilenceMs(): number {
    const now = performance.now();
    const isRefused = now - (this.#refusedSince ?? now) > MAX_REFUSED_MS;
    return isRefused ? Infinity : now - this.#heardAt;
  }

  /** Keeps a stream to the agent until the link is closed. */
  async run(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const stream = this.#options.peers.open(this.member.peerAddress);
      this.#stream = stream;
      try {
        await this.#runStream(stream);
      } catch {
        // The stream broke. The agent is suspected by its silence, not by one
        // broken stream.
      }
      stream.close();
      if (!this.#isUp) {
        this.#refusedSince ??= performance.now();
      }
      this.#setDown();
      if (!this.#abort.signal.aborted) {
        await new Promise((resolve) => setTimeout(resolve, RECONNECT_DELAY_MS));
      }
    }
  }

  #setDown(): void {
    this.#credits = 0;
    this.#toldQueued = 0;
    this.claims.close();
    if (this.#isUp) {
      this.#isUp = false;
      this.#dispatches.handleStreamDown();
      this.#options.onCreditsChange(this, { hasIncreased: false });
      this.#options.onChange();
    }
  }

  /**
   * Changes what the stream is for, by opening it again; running tasks keep
   * their results.
   */
  setWantsCredits(wantsCredits: boolean): void {
    if (wantsCredits !== this.#wantsCredits) {
      this.#wantsCredits = wantsCredits;
      this.#heardAt = performance.now();
      this.#stream?.close();
    }
  }

  /**
   * Closes the link after the agent was removed or has left. Open dispatches
   * end as `agent_lost`.
   */
  close(): void {
    this.#abort.abort();
    this.#stream?.close();
    const message = `agent ${this.member.id} was removed`;
    this.#dispatches.resolveAll(createError("agent_lost", message));
    this.claims.close();
  }

  /**
   * Sends an attempt, and waits for its result.
   * @param task - The attempt.
   * @param options - `onBroken` is called when the stream stays broken while
   * the result is open.
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

  /** Tells the agent that tasks wait for its slots. */
  requestCredits(queued: number): void {
    this.#closeWant();
    this.#toldQueued = queued;
    this.#wantedAt = performance.now();
    this.#isWantOpen = true;
    this.#send({ case: "want", value: { queued } });
  }

  /** Cancels a dispatch. Its result says whether it had started. */
  cancel(cancel: CancelRequest): void {
    this.#dispatches.addCancel(cancel);
    this.#send({ case: "cancel", value: cancel });
  }

  /** Forgets a dispatch whose result isn't awaited any more. */
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
      this.#closeWant();
      this.#toldQueued = this.#options.getDemand(this);
      const clock = timeline.advanceClock();
      const value = this.#heartbeats.create(this.#toldQueued, clock);
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
        this.#heardAt = performance.now();
        this.#heartbeats.receive(message.value);
        this.#load = message.value.queued;
        return;
      case "credit":
        this.#isWantOpen = false;
        this.#wastedWants = 0;
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
      case "batch":
        return;
      default:
        return message satisfies never;
    }
  }

  #handleHello(memberId: string): void {
    if (memberId !== this.member.id) {
      // Another incarnation listens at this address: what this link waits for
      // died with the old one.
      this.#stream?.close();
      return;
    }
    this.#refusedSince = undefined;
    this.#isUp = true;
    for (const { message, cancel } of this.#dispatches.handleStreamUp()) {
      if (cancel !== undefined) {
        // Sent first, it leaves a tombstone where the dispatch itself was lost.
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
   * Gives unused credits back. Each revocation gets one return, so that the
   * agent can match them.
   */
  #handleCreditRevoke(asked: number): void {
    const count = Math.min(asked, this.#credits);
    this.#credits -= count;
    this.#options.onCreditsChange(this, { hasIncreased: false });
    this.#send({ case: "creditReturn", value: { count } });
  }

  /** Counts a want that has brought no credit as wasted. */
  #closeWant(): void {
    if (this.#isWantOpen) {
      this.#isWantOpen = false;
      this.#wastedWants++;
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
    this.#toldQueued = this.#options.getDemand(this);
    const value = {
      ...message,
      queued: this.#toldQueued,
      clock: this.#options.timeline.advanceClock(),
    };
    this.#send({ case: "dispatch", value });
  }

  #send(message: PeerMessage): void {
    this.#options.messages.recordSent(message.case);
    this.#stream?.send(message);
  }
}

/** Was the dispatch refused although it was not cancelled? */
function isRefusal(result: DispatchResult): boolean {
  const kind = result.errorKind;
  return isErrorKind(kind) && kind !== "cancelled" &&
    ERROR_RESPONSES[kind].outcome === "not run";
}
