import { expect } from "chai";
import { HttpUpstreamClient } from "../../../src/transport/upstream/mod.ts";
import {
  DisconnectingUpstream,
  type Framing,
} from "../../lib/disconnecting_upstream.ts";

const BODY = "0123456789";

describe("HttpUpstreamCaller", () => {
  const upstream = new DisconnectingUpstream();
  let caller: HttpUpstreamClient;

  before(async () => {
    const port = await upstream.start();
    caller = new HttpUpstreamClient({
      address: `127.0.0.1:${port}`,
      maxConnections: 64,
    });
  });
  after(() => upstream.stop());

  async function call(repeatable: boolean): Promise<string> {
    const answer = await caller.call({
      key: "key",
      index: 0,
      attempt: 1,
      service: "echo",
      body: Buffer.from(BODY),
      timeoutMs: 2_000,
      repeatable,
      signal: new AbortController().signal,
      checkStart: () => undefined,
    });
    return answer.match(
      ({ body }) => `answer ${Buffer.from(body).toString()}`,
      ({ kind }) => kind,
    );
  }

  describe("call", () => {
    it("never takes an exchange that was cut off for an answer or for not run", async () => {
      // Guards against a truncated answer that passes as whole, and an untrue
      // "not run". An end of the connection that the upstream's kernel closes
      // is no proof that the answer was whole.
      const framings: Framing[] = ["length", "chunked", "close"];
      for (const framing of framings) {
        upstream.framing = framing;
        const { length } = upstream.createAnswer(BODY);
        for (const how of ["reset", "end"] as const) {
          for (let bytes = 0; bytes < length; bytes++) {
            upstream.disconnectAt = { side: "response", bytes, closeMode: how };
            const where = `${framing}, ${how} after ${bytes} of ${length}`;
            expect(await call(bytes % 2 === 0), where).to.be.oneOf([
              "upstream_reset",
              "corrupt_answer",
            ]);
          }
        }
      }
    });

    it("gets whole answers, also after the upstream closed the kept connections", async () => {
      // Guards against refusing everything.
      upstream.disconnectAt = undefined;
      for (const framing of ["length", "chunked"] as const) {
        upstream.framing = framing;
        for (const repeatable of [true, false]) {
          upstream.closeConnections();
          await new Promise((resolve) => setTimeout(resolve, 20));
          expect(await call(repeatable)).to.equal(`answer ${BODY}`);
        }
      }
    });
  });
});
