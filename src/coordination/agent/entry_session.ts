import type { Timeline } from "../../state/timeline/mod.ts";
import type { ClaimService } from "../claims/mod.ts";
import { Heartbeats, type LogFollower, VIEW_LIMITS } from "../follower/mod.ts";
import type { PeerStream } from "../links/mod.ts";
import type {
  Claim,
  Complete,
  Dispatch,
  Hello,
  PeerMessage,
} from "../messages/mod.ts";
import type { CreditLedger } from "./credit_ledger.ts";
import type { SessionTable } from "./session_table.ts";
import type { TaskExecutor } from "./task_executor.ts";

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
}

/** The agent's side of one stream that an entry has opened. */
export class EntrySession {
  readonly #options: EntrySessionOptions;
  readonly #heartbeats: Heartbeats;
  #hello: Hello | undefined;

  constructor(options: EntrySessionOptions) {
    this.#options = options;
    this.#heartbeats = new Heartbeats(options.follower);
  }

  /** Gets the member id of the entry; empty before its first message. */
  get entryId(): string {
    return this.#hello?.memberId ?? "";
  }

  /** Gets the offset that the entry's view has confirmed; -1 before its first heartbeat. */
  get confirmedOffset(): number {
    return this.#heartbeats.peerOffset;
  }

  /** Gets the time since the entry's last heartbeat, in milliseconds. */
  getSilenceMs(): number {
    return this.#heartbeats.getSilenceMs();
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
        this.#handle(message);
      }
    } finally {
      stream.close();
      // A newer stream of the same entry may have replaced this one already.
      if (sessions.remove(this) && this.#hello?.wantsCredits) {
        credits.removeEntry(this.entryId);
      }
    }
  }

  #open(hello: Hello): void {
    const { stream, credits, memberId, zone, sessions } = this.#options;
    this.#hello = hello;
    stream.send({
      case: "hello",
      value: { memberId, zone, wantsCredits: false },
    });
    sessions.add(this);
    if (hello.wantsCredits) {
      credits.addEntry(
        this.entryId,
        (count) => stream.send({ case: "credit", value: { count } }),
      );
      void this.#sendHeartbeats();
    }
  }

  async #sendHeartbeats(): Promise<void> {
    const { stream, timeline } = this.#options;
    while (!stream.isClosed) {
      stream.send({
        case: "heartbeat",
        value: this.#heartbeats.create(0, timeline.getClock()),
      });
      await new Promise((resolve) =>
        setTimeout(resolve, VIEW_LIMITS.heartbeatIntervalMs)
      );
    }
  }

  #handle(message: PeerMessage): void {
    const { credits, executor, timeline } = this.#options;
    if (this.#hello === undefined && message.case !== "hello") {
      return;
    }
    switch (message.case) {
      case "hello":
        this.#open(message.value);
        return;
      case "heartbeat":
        timeline.mergeClock(message.value.clock);
        this.#heartbeats.receive(message.value);
        credits.setQueued(this.entryId, message.value.queued);
        return;
      case "dispatch":
        void this.#handleDispatch(message.value);
        return;
      case "cancel":
        executor.cancel(message.value);
        return;
      case "want":
        credits.setQueued(this.entryId, message.value.queued);
        return;
      case "claim":
        this.#handleClaim(message.value);
        return;
      case "complete":
        this.#handleComplete(message.value);
        return;
      case "creditReturn":
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

  async #handleDispatch(dispatch: Dispatch): Promise<void> {
    const { stream, executor, credits, timeline } = this.#options;
    timeline.mergeClock(dispatch.clock);
    credits.useCredit(this.entryId);
    const result = await executor.run(dispatch, this.entryId);
    const granted = credits.finishTask(this.entryId);
    stream.send({
      case: "result",
      value: {
        ...result,
        dispatchId: dispatch.dispatchId,
        credits: granted,
        clock: timeline.getClock(),
      },
    });
  }

  #handleClaim(claim: Claim): void {
    const { stream, claims, timeline } = this.#options;
    timeline.mergeClock(claim.clock);
    claims.handleClaim({
      claim,
      coordinatorId: this.entryId,
      isOpen: () => !stream.isClosed,
      reply: (reply) => {
        timeline.record("claim_answered", {
          key: claim.key,
          detail: reply.outcome,
        });
        const clock = timeline.getClock();
        stream.send({
          case: "claimReply",
          value: { ...reply, claimId: claim.claimId, clock },
        });
      },
    });
  }

  #handleComplete(complete: Complete): void {
    const { stream, claims } = this.#options;
    const stored = claims.handleComplete(complete, this.entryId);
    stream.send({
      case: "completeReply",
      value: { claimId: complete.claimId, stored },
    });
  }
}
