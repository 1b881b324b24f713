import { expect } from "chai";
import { EventEmitter } from "node:events";
import type { IncomingMessage } from "node:http";
import { BodyReader } from "../../../src/transport/http/body_reader.ts";
import { MemoryBudget } from "../../../src/transport/memory_budget.ts";

/** The load: bodies that arrive in very many small chunks. */
describe("BodyReader", () => {
  let request: EventEmitter;
  let budget: MemoryBudget;
  let bodies: Buffer[];
  let refusals: string[];

  function readBody(headers: Record<string, string> = {}): void {
    request = Object.assign(new EventEmitter(), { headers });
    budget = new MemoryBudget(4_000_000);
    bodies = [];
    refusals = [];
    new BodyReader({
      request: request as IncomingMessage,
      budget,
      maxBytes: 1_000_000,
      onComplete: (body) => bodies.push(body),
      onRefuse: (cause) => refusals.push(cause),
    });
  }

  function sendChunks(count: number, bytes: number): void {
    for (let sent = 0; sent < count; sent++) {
      request.emit("data", Buffer.alloc(bytes, sent % 10 + 48));
    }
  }

  it("counts the memory that a body takes, which its chunks don't add to", () => {
    // Guards against a buffer for each chunk, which takes more than the chunk.
    readBody();
    sendChunks(100, 100);
    expect(budget.heldBytes).to.equal(16_384);
    request.emit("end");
    expect(budget.heldBytes).to.equal(0);
    expect(bodies.map((body) => body.toString())).to.deep.equal([
      Array.from({ length: 100 }, (_, i) => `${i % 10}`.repeat(100)).join(""),
    ]);
  });

  it("takes no more memory than the announced length, and none before it arrives", () => {
    // Guards against clients that take memory by an announcement.
    readBody({ "content-length": "500000" });
    expect(budget.heldBytes).to.equal(0);
    sendChunks(2, 10_000);
    expect(budget.heldBytes).to.equal(32_768);
    sendChunks(48, 10_000);
    expect(budget.heldBytes).to.equal(500_000);
  });

  it("refuses a body of very many chunks that are tiny", () => {
    // Guards against a process that is busy with the chunks of a few bodies.
    readBody();
    sendChunks(5_000, 1);
    expect(refusals).to.deep.equal(["body_chunks"]);
    expect(budget.heldBytes).to.equal(0);
  });

  it("reads a body of many chunks that aren't tiny", () => {
    // Guards against a bound that clients meet that write each record for itself.
    readBody();
    sendChunks(5_000, 100);
    request.emit("end");
    expect(refusals).to.deep.equal([]);
    expect(bodies[0]).to.have.length(500_000);
  });
});
