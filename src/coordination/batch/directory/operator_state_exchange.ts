import type {
  BatchBody,
  OperatorStatePart,
  OperatorStateRequest,
} from "../../messages/mod.ts";
import type { OperatorFollower } from "./operator_follower.ts";
import type { OperatorStateSource } from "./operator_state_source.ts";

/**
 * Length of a part in characters. A link of 2 Mbit/s takes less than 0.1 s for a
 * frame of this size.
 */
const PART_LENGTH = 16_384;

export interface OperatorStateExchangeOptions {
  operatorFollower: OperatorFollower;
  send: (body: BatchBody) => void;
  /** Gets the name of the peer. */
  getName: () => string;
}

/**
 * The operator's state on one stream between an entry and an agent: the one that is
 * behind reads that of the other one.
 */
export class OperatorStateExchange implements OperatorStateSource {
  readonly #options: OperatorStateExchangeOptions;
  /** The state that the peer is reading; it stays the same until it is read. */
  #served: { offset: number; state: string } | undefined;

  constructor(options: OperatorStateExchangeOptions) {
    this.#options = options;
  }

  get name(): string {
    return this.#options.getName();
  }

  requestOperatorState(value: OperatorStateRequest): void {
    this.#options.send({ case: "readOperatorState", value });
  }

  /** Handles that the peer has told up to which offset it has the state. */
  handleOffset(offset: number): void {
    this.#options.operatorFollower.stateReader.handleOffset(this, offset);
  }

  handlePart(part: OperatorStatePart): void {
    this.#options.operatorFollower.stateReader.handlePart(this, part);
  }

  /** Sends the part that the peer asks for, or the first one of a newer state. */
  handleRequest(request: OperatorStateRequest): void {
    const { operatorFollower, send } = this.#options;
    const isContinued = request.position > 0 &&
      this.#served?.offset === request.offset;
    const served = isContinued && this.#served !== undefined
      ? this.#served
      : operatorFollower.getSnapshot();
    const position = isContinued ? request.position : 0;
    const { offset, state } = served;
    const text = state.slice(position, position + PART_LENGTH);
    const isLast = position + text.length >= state.length;
    this.#served = isLast ? undefined : served;
    operatorFollower.recordSentPart(text.length);
    const { length } = state;
    const value = { offset, position, length, text };
    send({ case: "operatorStatePart", value });
  }

  /** Ends what is read from the peer. */
  close(): void {
    this.#served = undefined;
    this.#options.operatorFollower.stateReader.handleSourceLost(this);
  }
}
