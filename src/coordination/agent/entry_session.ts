import type { MessageCounts } from "../../state/metrics/mod.ts";
import type { Timeline } from "../../state/timeline/mod.ts";
import type { ClaimService } from "../claims/mod.ts";
import { Heartbeats, type LogFollower, VIEW_LIMITS } from "../follower/mod.ts";
import type { PeerStream } from "../ports/mod.ts";
import type {
  ClaimRequest,
  CompleteRequest,
  Dispatch,
  Hello,
  PeerMessage,
} from "../messages/mod.ts";
import { createFailedResult } from "./create_failed_result.ts";
import type { CreditAccount } from "./credit_account.ts";
import type { CreditLedger } from "./credit_ledger.ts";
import type { SessionTable } from "./session_table.ts";
import type { TaskExecutor } from "./task_executor.ts";
import type { TaskResult } from "./task_result.ts";

/**
 * Time without a heartbeat after which an entry's credits are suspended, in
 * milliseconds. Exceeds two heartbeat intervals.
 */
const CREDIT_SUSPEND_AFTER_MS = 1_200;

export interface EntrySessionOptions {
  stream: PeerStream;
  memberId: string;
  zone: string;
  follower: LogFollower;
  executor: TaskExecutor;
  credits: CreditLedger;
  claims: ClaimService;
  sessions: SessionTable;
  timeline: Timeline;
  messages: MessageCounts;
}

/** The agent's end of one stream that an entry has opened. */
export class EntrySession {
  readonly #options: EntrySessionOptions;
  readonly #heartbeats: Heartbeats;
  #hello: Hello | undefined;
  #account: CreditAccount | undefined;

  constructor(options: EntrySessionOptions) {
    this.#options = options;
    this.#heartbeats = new Heartbeats(options.follower);
  }

  /** Gets the member id of the entry. Empty until its hello has arrived. */
  get entryId(): string {
    return this.#hello?.memberId ?? "";
  }

  /**
   * Indicates whether the entry sends heartbeats. A stream that carries only
   * claims has none.
   */
  get hasHeartbeats(): boolean {
    return this.#hello?.wantsCredits ?? false;
  }

  /**
   * Gets the log offset of the entry's view as last reported. Returns -1 until
   * its first heartbeat has arrived.
   */
  get confirmedOffset(): number {
    return this.#heartbeats.peerViewOffset;
  }

  /** Gets the time since the entry's last heartbeat, in milliseconds. */
  getHeartbeatAgeMs(): number {
    return this.#heartbeats.getHeartbeatAgeMs();
  }

  /**
   * Creates a function that checks whether the entry has received everything
   * that was sent before this call. It also returns true if the entry sends no
   * heartbeats or its heartbeats have stopped, since such an entry can't
   * confirm the delivery.
   */
  createDeliveryCheck(): () => boolean {
    const { sequence } = this.#heartbeats;
    return () =>
      this.#isUnreachable() || this.#heartbeats.acknowledgedSequence > sequence;
  }

  /**
   * Checks whether the entry's view has reached a log offset. Also returns true
   * if the entry sends no heartbeats or its heartbeats have stopped.
   */
  hasConfirmed(offset: number): boolean {
    return this.#isUnreachable() || this.confirmedOffset >= offset;
  }

  #isUnreachable(): boolean {
    return this.#options.stream.isClosed ||
      this.#hello?.wantsCredits !== true ||
      this.getHeartbeatAgeMs() > VIEW_LIMITS.suspectAfterMs;
  }

  /** Closes the stream. */
  close(): void {
    this.#options.stream.close();
  }

  /** Serves the stream until it ends. */
  async run(): Promise<void> {
    const { stream, credits, sessions } = this.#options;
    try {
      for await (const message of stream.received) {
        this.#handleMessage(message);
      }
    } finally {
      stream.close();
      sessions.remove(this);
      if (this.#account !== undefined) {
        credits.removeEntry(this.#account);
      }
    }
  }

  #handleHello(hello: Hello): void {
    const { credits, memberId, zone, sessions } = this.#options;
    this.#hello = hello;
    this.#send({
      case: "hello",
      value: { memberId, zone, wantsCredits: false },
    });
    sessions.add(this);
    if (hello.wantsCredits) {
      this.#account = credits.addEntry(this.entryId, {
        sendGrant: (count) => this.#send({ case: "credit", value: { count } }),
        sendRevoke: (count) =>
          this.#send({ case: "creditRevoke", value: { count } }),
      });
      void this.#sendHeartbeats();
    }
  }

  #send(message: PeerMessage): void {
    this.#options.messages.recordSent(message.case);
    this.#options.stream.send(message);
  }

  async #sendHeartbeats(): Promise<void> {
    const { stream, credits, timeline } = this.#options;
    while (!stream.isClosed) {
      this.#send({
        case: "heartbeat",
        value: this.#heartbeats.create(
          credits.runningCount,
          timeline.advanceClock(),
        ),
      });
      if (
        this.#account !== undefined &&
        this.getHeartbeatAgeMs() > CREDIT_SUSPEND_AFTER_MS
      ) {
        credits.suspend(this.#account);
      }
      await new Promise((resolve) =>
        setTimeout(resolve, VIEW_LIMITS.heartbeatIntervalMs)
      );
    }
  }

  #handleMessage(message: PeerMessage): void {
    const { executor, timeline } = this.#options;
    if (this.#hello === undefined && message.case !== "hello") {
      return;
    }
    switch (message.case) {
      case "hello":
        this.#handleHello(message.value);
        return;
      case "heartbeat":
        timeline.mergeClock(message.value.clock);
        this.#heartbeats.receive(message.value);
        if (this.#account !== undefined) {
          this.#options.credits.resume(this.#account);
        }
        this.#setQueued(message.value.queued);
        return;
      case "dispatch":
        void this.#handleDispatch(message.value);
        return;
      case "cancel":
        executor.cancel(message.value);
        return;
      case "want":
        this.#setQueued(message.value.queued);
        return;
      case "creditReturn":
        this.#handleCreditReturn(message.value.count);
        return;
      case "claim":
        this.#handleClaim(message.value);
        return;
      case "complete":
        this.#handleComplete(message.value);
        return;
      case "result":
      case "credit":
      case "creditRevoke":
      case "claimReply":
      case "completeReply":
        return;
      default:
        return message satisfies never;
    }
  }

  #setQueued(queued: number): void {
    if (this.#account !== undefined) {
      this.#options.credits.setQueued(this.#account, queued);
    }
  }

  #handleCreditReturn(count: number): void {
    const { credits, messages } = this.#options;
    if (this.#account === undefined) {
      return;
    }
    if (count === 0) {
      messages.recordWasted("creditRevoke");
      messages.recordWasted("creditReturn");
    }
    const wasted = credits.returnCredits(this.#account, count);
    for (let n = 0; n < wasted; n++) {
      messages.recordWasted("credit");
    }
  }

  async #handleDispatch(dispatch: Dispatch): Promise<void> {
    const { stream, timeline } = this.#options;
    timeline.mergeClock(dispatch.clock);
    // The entry sends a dispatch of a broken stream again on the next one. The
    // old copy must not use the new stream's credits.
    if (stream.isClosed) {
      return;
    }
    const { result, granted } = await this.#runDispatch(
      dispatch,
      this.#account,
    );
    const { dispatchId } = dispatch;
    const clock = timeline.advanceClock();
    this.#send({
      case: "result",
      value: { ...result, dispatchId, credits: granted, clock },
    });
  }

  async #runDispatch(
    dispatch: Dispatch,
    account: CreditAccount | undefined,
  ): Promise<{ result: TaskResult; granted: number }> {
    const { executor, credits } = this.#options;
    const { onCredit, queued } = dispatch;
    if (executor.hasRecord(dispatch)) {
      const granted = onCredit && account !== undefined
        ? credits.consumeCredit(account)
        : 0;
      return { result: await executor.run(dispatch, this.entryId), granted };
    }
    if (account === undefined) {
      const message = "the entry opened this stream for claims only";
      return { result: createFailedResult("busy", message), granted: 0 };
    }
    const hasSlot = credits.acquireSlot(account, { onCredit });
    credits.setQueued(account, queued);
    if (!hasSlot) {
      return { result: createFailedResult("busy", "no free slot"), granted: 0 };
    }
    const result = await executor.run(dispatch, this.entryId);
    return { result, granted: credits.releaseSlot(account) };
  }

  #handleClaim(claim: ClaimRequest): void {
    const { claims, timeline } = this.#options;
    timeline.mergeClock(claim.clock);
    claims.handleClaim({
      claim,
      coordinatorId: this.entryId,
      isStreamOpen: () => !this.#options.stream.isClosed,
      reply: (reply) => {
        timeline.record("claim_answered", {
          key: claim.key,
          detail: reply.outcome,
        });
        const clock = timeline.advanceClock();
        this.#send({
          case: "claimReply",
          value: { ...reply, claimId: claim.claimId, clock },
        });
      },
    });
  }

  #handleComplete(complete: CompleteRequest): void {
    const { claims } = this.#options;
    const stored = claims.handleComplete(complete, this.entryId);
    this.#send({
      case: "completeReply",
      value: { claimId: complete.claimId, stored },
    });
  }
}
