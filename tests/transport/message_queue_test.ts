import { expect } from "chai";
import { MessageQueue } from "../../src/transport/message_queue.ts";

describe("MessageQueue", () => {
  it("ends an iteration that waits when its reader ends it with an error", async () => {
    // Guards against streams of Connect, whose client requires `throw`, that
    // can't be opened.
    const iterator = new MessageQueue<number>()[Symbol.asyncIterator]();
    const next = iterator.next();
    const error = new Error("aborted");
    const ended = iterator.throw?.(error).catch((reason: unknown) => reason);
    expect(await ended).to.equal(error);
    expect(await next).to.deep.equal({ value: undefined, done: true });
  });

  it("gives the queued items before the error of a closed queue", async () => {
    const queue = new MessageQueue<number>();
    queue.add(1);
    queue.close(new Error("reset"));
    const read: number[] = [];
    const reason = await (async () => {
      for await (const item of queue) {
        read.push(item);
      }
    })().catch((error: Error) => error.message);
    expect({ read, reason }).to.deep.equal({ read: [1], reason: "reset" });
  });
});
