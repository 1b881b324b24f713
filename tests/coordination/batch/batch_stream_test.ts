import { setTimeout as wait } from "node:timers/promises";
import { expect } from "chai";
import { BatchStream } from "../../../src/coordination/batch/batch_stream.ts";
import { MemoryStream } from "../../lib/memory_stream.ts";

describe("BatchStream", () => {
  it("tracks the send time of the newest acknowledged frame", async () => {
    let time = 100;
    const peerStream = new MemoryStream();
    const stream = new BatchStream(peerStream, { getTime: () => time });
    const reader = stream.receive(() => {});
    stream.send({ case: "ping", value: { operatorOffset: 0 } });
    time = 5_000;
    const kind = { case: "ping", value: { operatorOffset: 0 } } as const;
    const frame = { sentAtMs: 7, echoAtMs: 100, kind };
    peerStream.received.add(frame);
    await wait(5);
    // The answer took 4.9 s and acknowledges nothing that was sent meanwhile.
    expect(stream.acknowledgedSentAt).to.equal(100);
    stream.send({ case: "ping", value: { operatorOffset: 0 } });
    const last = peerStream.sent.at(-1);
    expect(last).to.deep.include({ sentAtMs: 5_000, echoAtMs: 7 });
    stream.close();
    await reader;
  });
});
