import { expect } from "chai";
import { HttpUpstreamClient } from "../../../src/transport/upstream/mod.ts";
import {
  DisconnectingUpstream,
  type Framing,
} from "../../lib/disconnecting_upstream.ts";

const BODY = "0123456789";

describe("HttpUpstreamClient", () => {
  const upstream = new DisconnectingUpstream();
  let client: HttpUpstreamClient;

  before(async () => {
    const port = await upstream.start();
    client = new HttpUpstreamClient({
      address: `127.0.0.1:${port}`,
      maxConnections: 64,
    });
  });
  after(() => upstream.stop());

  async function call(repeatable: boolean): Promise<string> {
    const answer = await client.call({
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
    it("reports an exchange that was cut off neither as an answer nor as not run", async () => {
      // Guards against a truncated answer that is taken as complete, and
      // against "not run" for a request that may have run. The kernel closes
      // the connection of a killed upstream in the normal way, so the end of a
      // connection doesn't prove that the answer is complete.
      const framings: Framing[] = ["length", "chunked", "close"];
      for (const framing of framings) {
        upstream.framing = framing;
        const { length } = upstream.createResponse(BODY);
        for (const closeMode of ["reset", "end"] as const) {
          for (let bytes = 0; bytes < length; bytes++) {
            upstream.disconnectAt = { side: "response", bytes, closeMode };
            const exchange =
              `${framing}, ${closeMode} after ${bytes} of ${length}`;
            expect(await call(bytes % 2 === 0), exchange).to.be.oneOf([
              "upstream_reset",
              "corrupt_answer",
            ]);
          }
        }
      }
    });

    it("gets complete answers, even after the upstream closed idle connections", async () => {
      // Guards against a client that reports every exchange as cut off.
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
