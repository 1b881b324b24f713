import { setTimeout as wait } from "node:timers/promises";
import { expect } from "chai";
import { BatchStream } from "../../../src/coordination/batch/batch_stream.ts";
import { MemoryStream } from "../../lib/memory_stream.ts";

describe("BatchLink", () => {
  it("dates its proof from the frame that the other side has answered", async () => {
    let time = 100;
    const stream = new MemoryStream();
    const link = new BatchStream(stream, { getTime: () => time });
    const reader = (async () => {
      for await (const _body of link.receive()) {
        // Only the proof is of interest.
      }
    })();
    link.send({ case: "ping", value: { operatorOffset: 0 } });
    time = 5_000;
    const kind = { case: "ping", value: { operatorOffset: 0 } } as const;
    const frame = { sentAtMs: 7, echoAtMs: 100, kind };
    stream.received.add({ case: "batch", value: frame });
    await wait(5);
    // The answer was under way for 4.9 s and proves nothing about this time.
    expect(link.acknowledgedSentAt).to.equal(100);
    link.send({ case: "ping", value: { operatorOffset: 0 } });
    const last = stream.sent.at(-1);
    expect(last?.value).to.deep.include({ sentAtMs: 5_000, echoAtMs: 7 });
    link.close();
    await reader;
  });
});
