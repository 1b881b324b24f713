import { expect } from "chai";
import { OperatorStateReader } from "../../../../src/coordination/batch/directory/operator_state_reader.ts";
import type { OperatorStateRequest } from "../../../../src/coordination/messages/mod.ts";
import { RecordedLog } from "../../../lib/recorded_log.ts";

/** Time for which the store has priority, and that without a part, in milliseconds. */
const STORE_PRIORITY_MS = 1_000;
const PART_TIMEOUT_MS = 700;

const OFFSET = 5;

/** A peer that records what is requested of it. */
class RecordedSource {
  readonly requests: OperatorStateRequest[] = [];

  readonly name: string;

  constructor(name: string) {
    this.name = name;
  }

  requestOperatorState(request: OperatorStateRequest): void {
    this.requests.push(request);
  }
}

describe("OperatorStateReader", () => {
  let now: number;
  let ownOffset: number;
  let isStoreReachable: boolean;
  let storeBytes: number;
  let read: { offset: number; state: string; from: string }[];
  let reader: OperatorStateReader;
  let peers: RecordedSource[];

  beforeEach(() => {
    now = 10_000;
    ownOffset = 0;
    isStoreReachable = false;
    storeBytes = 0;
    read = [];
    peers = Array.from(
      { length: 100 },
      (_, index) => new RecordedSource(`agent-${index}`),
    );
    reader = new OperatorStateReader({
      log: new RecordedLog(),
      getOffset: () => ownOffset,
      isStoreReachable: () => isStoreReachable,
      getStoreBytes: () => storeBytes,
      onRead: (snapshot, from) => read.push({ ...snapshot, from }),
      getTime: () => now,
    });
  });

  function sendOffsets(): void {
    peers.forEach((peer) => reader.handleOffset(peer, OFFSET));
  }

  function countRequests(): number {
    return peers.flatMap(({ requests }) => requests).length;
  }

  function getFirst(): RecordedSource {
    return peers[0] as RecordedSource;
  }

  it("reads from one of the peers that are ahead, part by part", () => {
    for (let round = 0; round < 10; round++) {
      sendOffsets();
    }
    expect(countRequests()).to.equal(1);
    const value = { offset: OFFSET, length: 4 };
    reader.handlePart(getFirst(), { ...value, position: 0, text: "ab" });
    expect(getFirst().requests.at(-1)).to.deep.equal({
      ...{ offset: OFFSET, position: 2 },
    });
    reader.handlePart(getFirst(), { ...value, position: 2, text: "cd" });
    expect(read).to.deep.equal([
      { offset: OFFSET, state: "abcd", from: "agent-0" },
    ]);
  });

  it("leaves the store time to answer", () => {
    // Guards against states of peers that slow down the answer of the store.
    isStoreReachable = true;
    sendOffsets();
    now += STORE_PRIORITY_MS - 1;
    sendOffsets();
    expect(countRequests()).to.equal(0);
    now += 1;
    sendOffsets();
    expect(countRequests()).to.equal(1);
  });

  it("does not ask a peer while a large answer of the store arrives", () => {
    // Guards against a state that is read twice over a slow link: the answer of the
    // store takes longer for it.
    isStoreReachable = true;
    for (let n = 0; n < 12; n++) {
      sendOffsets();
      now += 200;
      storeBytes += 20_000;
    }
    expect(countRequests()).to.equal(0);
  });

  it("asks a peer when the answer of the store stops, or trickles", () => {
    for (const bytesInPeriod of [0, 1_000]) {
      isStoreReachable = true;
      storeBytes += 200_000;
      const before = countRequests();
      ownOffset--;
      for (let n = 0; n < 6; n++) {
        sendOffsets();
        now += 200;
        storeBytes += bytesInPeriod;
      }
      expect(countRequests()).to.equal(before + 1);
    }
  });

  it("does not read on once the store has answered", () => {
    sendOffsets();
    ownOffset = OFFSET;
    const value = { offset: OFFSET, position: 0, length: 4, text: "ab" };
    reader.handlePart(getFirst(), value);
    expect(countRequests()).to.equal(1);
  });

  it("reads from another peer when no part comes, or the stream ends", () => {
    sendOffsets();
    now += PART_TIMEOUT_MS;
    reader.handleOffset(peers[1] as RecordedSource, OFFSET);
    expect(peers[1]?.requests).to.have.length(1);
    reader.handleSourceLost(peers[1] as RecordedSource);
    reader.handleOffset(peers[2] as RecordedSource, OFFSET);
    expect(peers[2]?.requests).to.have.length(1);
    const late = { offset: OFFSET, position: 0, length: 1, text: "a" };
    reader.handlePart(getFirst(), late);
    expect(read).to.deep.equal([]);
  });

  it("starts over when the peer has a newer state", () => {
    sendOffsets();
    const value = { position: 0, length: 2 };
    reader.handlePart(getFirst(), { ...value, offset: OFFSET, text: "a" });
    reader.handlePart(getFirst(), { ...value, offset: OFFSET + 1, text: "b" });
    reader.handlePart(getFirst(), {
      ...{ offset: OFFSET + 1, position: 1, length: 2, text: "c" },
    });
    expect(read).to.deep.equal([
      { offset: OFFSET + 1, state: "bc", from: "agent-0" },
    ]);
  });
});
