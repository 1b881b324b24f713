import {
  Heartbeats,
  type LogFollower,
  VIEW_LIMITS,
} from "../../../src/coordination/follower/mod.ts";
import type { PeerStream } from "../../../src/coordination/ports/mod.ts";
import type {
  Dispatch,
  PeerMessage,
} from "../../../src/coordination/messages/mod.ts";
import { getDigest } from "../../../src/state/hashing/mod.ts";
import { PeerServer } from "../../../src/transport/peer/mod.ts";

/** Time after which a task is answered. */
const RUN_MS = 5;

export interface FakeAgentOptions {
  memberId: string;
  follower: LogFollower;
  /** Credits granted to each entry. */
  credits: number;
}

/**
 * The agent's side of the streams, without an upstream. A benchmark of the entry
 * runs many of them in one process.
 */
export class FakeAgent {
  readonly #options: FakeAgentOptions;
  readonly #server = new PeerServer({
    host: "127.0.0.1",
    port: 0,
    serveStream: (stream) => this.#serve(stream),
    handleGather: ({ epoch }) => ({
      ready: true,
      claims: [],
      epoch,
      isComplete: true,
      next: 0,
    }),
  });

  constructor(options: FakeAgentOptions) {
    this.#options = options;
  }

  /** Starts to listen, and returns the port. */
  start(): Promise<number> {
    return this.#server.start();
  }

  /** Stops the server. */
  stop(): void {
    this.#server.stop();
  }

  async #serve(stream: PeerStream): Promise<void> {
    const { memberId, follower } = this.#options;
    const heartbeats = new Heartbeats(follower);
    const value = { memberId, zone: "a", wantsCredits: false };
    stream.send({ case: "hello", value });
    const timer = setInterval(
      () => stream.send({ case: "heartbeat", value: heartbeats.create(0, 0) }),
      VIEW_LIMITS.heartbeatIntervalMs,
    );
    try {
      for await (const message of stream.received) {
        this.#handle(message, { stream, heartbeats });
      }
    } finally {
      clearInterval(timer);
    }
  }

  #handle(
    message: PeerMessage,
    options: { stream: PeerStream; heartbeats: Heartbeats },
  ): void {
    const { stream, heartbeats } = options;
    switch (message.case) {
      case "hello":
        if (this.#options.credits > 0) {
          const value = { count: this.#options.credits };
          stream.send({ case: "credit", value });
        }
        return;
      case "heartbeat":
        heartbeats.receive(message.value);
        return;
      case "claim": {
        const { claimId } = message.value;
        const reply = { claimId, outcome: "granted", coordinator: "" } as const;
        stream.send({ case: "claimReply", value: { ...reply, clock: 0 } });
        return;
      }
      case "complete": {
        const { claimId } = message.value;
        stream.send({
          case: "completeReply",
          value: { claimId, stored: true },
        });
        return;
      }
      case "dispatch":
        setTimeout(() => sendResult(stream, message.value), RUN_MS);
        return;
      default:
        return;
    }
  }
}

function sendResult(stream: PeerStream, dispatch: Dispatch): void {
  const { dispatchId, body } = dispatch;
  stream.send({
    case: "result",
    value: {
      ...{ dispatchId, errorKind: "", message: "", status: 200, body },
      ...{ digest: getDigest(body), runMs: RUN_MS, credits: 1, clock: 0 },
    },
  });
}
