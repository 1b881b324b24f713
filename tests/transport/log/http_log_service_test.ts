import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { expect } from "chai";
import { LogFollower } from "../../../src/coordination/follower/mod.ts";
import { ClusterView } from "../../../src/state/view/mod.ts";
import { HttpLogService } from "../../../src/transport/log/mod.ts";

/** Levels of nesting at which recursive code overflows the stack. */
const DEPTH = 100_000;

const NESTED = "[".repeat(DEPTH) + "]".repeat(DEPTH);

const ODD_RECORDS = [
  NESTED,
  `{"type":"change","id":"x","baseRevision":0,"operator":"o",` +
  `"edits":[{"path":"rules","value":${NESTED}}]}`,
  `{"type":"snapshot","at":1,"view":${NESTED}}`,
  `{"type":"leave","memberId":1e999,"phase":"left"}`,
  "1e999",
];

const SOUND_RECORD = JSON.stringify({
  type: "change",
  id: "sound",
  baseRevision: 0,
  operator: "o",
  edits: [{ path: "services.preview", value: {} }],
});

/** Starts a server that sends the answer in parts with a delay before each. */
async function startSlowServer(
  parts: readonly string[],
  options: { delayMs: number; isStalled?: boolean },
): Promise<http.Server> {
  const server = http.createServer((_request, response) => {
    void (async () => {
      for (const part of parts) {
        await wait(options.delayMs);
        response.write(part);
      }
      if (options.isStalled !== true) {
        response.end();
      }
    })();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

describe("HttpLogService", () => {
  const page = `{"first":1,"head":1,"records":[{"offset":1,"record":{}}]}`;

  for (const isStalled of [false, true]) {
    const name = isStalled
      ? "aborts a read whose answer stops in its middle"
      : "reads a large page over a slow link, however long it takes";
    it(name, async () => {
      // Guards against a snapshot that a process with a slow link never gets.
      const server = await startSlowServer([...page], {
        ...{ delayMs: 10, isStalled },
      });
      const { port } = server.address() as AddressInfo;
      const log = new HttpLogService(`127.0.0.1:${port}`, {
        readTimeoutMs: 300,
      });
      const read = await log.read(1, 500);
      expect(read.isOk()).to.equal(!isStalled);
      server.close();
      server.closeAllConnections();
    });
  }

  it("lets a follower pass over records of another writer that are nested too deeply", async () => {
    // Guards against processes that stop following the log at such a record.
    const records = [...ODD_RECORDS, SOUND_RECORD].map((record, index) =>
      `{"offset":${index + 1},"record":${record}}`
    );
    const server = http.createServer((_request, response) => {
      response.end(
        `{"first":1,"head":${records.length},"records":[${records.join()}]}`,
      );
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const log = new HttpLogService(`127.0.0.1:${port}`);
    const view = new ClusterView();
    const follower = new LogFollower({ view, log, zone: "a" });
    const skipped: number[] = [];
    follower.addListener(({ type }, offset) => {
      if (type === "skipped") {
        skipped.push(offset);
      }
    });
    expect(await follower.readToHead()).to.equal(true);
    expect(skipped).to.deep.equal(ODD_RECORDS.map((_, index) => index + 1));
    expect(view.settings.services).to.have.property("preview");
    server.close();
    server.closeAllConnections();
  });
});
