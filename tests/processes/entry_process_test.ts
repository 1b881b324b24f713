import { expect } from "chai";
import { spawn, spawnSync } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, writeFileSync } from "node:fs";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createProcessContext } from "../../src/processes/create_process_context.ts";
import { EntryProcess } from "../../src/processes/entry_process.ts";
import { LogStandIn } from "../../src/stand_in/mod.ts";
import { HttpLogService } from "../../src/transport/log/mod.ts";
import { ProcessSettings } from "../../src/state/process_settings/mod.ts";

describe("EntryProcess", () => {
  const standIn = new LogStandIn();
  let entry: EntryProcess;
  let address: string;

  before(async () => {
    const settings = ProcessSettings.parse({
      ...{ name: "entry", zone: "a", host: "127.0.0.1", peerPort: 0 },
      httpPort: 0,
      logAddress: `127.0.0.1:${await standIn.start()}`,
      logLevel: "error",
    });
    entry = new EntryProcess(createProcessContext(settings, "entry"));
    await entry.start();
    address = entry.httpAddress;
    while ((await fetch(`http://${address}/readyz`)).status !== 200) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  });
  after(async () => {
    await entry.stop();
    standIn.stop();
  });

  const job = JSON.stringify({ service: "echo", tasks: [{ body: "" }] });
  const key = { "idempotency-key": "k" };
  const cases: [string, Record<string, string>, string, number, string][] = [
    ["malformed JSON", key, "{", 400, "invalid_request"],
    ["a job without tasks", key, '{"service":"a"}', 400, "invalid_request"],
    ["a missing key", {}, job, 400, "missing_idempotency_key"],
    [
      "an over-long key",
      { "idempotency-key": "k".repeat(257) },
      job,
      400,
      "invalid_request",
    ],
    [
      "a customer name with a slash, which separates customer and key",
      { ...key, "x-customer": "a/b" },
      job,
      400,
      "invalid_request",
    ],
  ];
  for (const [name, headers, body, status, kind] of cases) {
    // Guards against a response without an error kind, and against the outcome
    // "unknown" for a job that never ran.
    it(`refuses ${name}`, async () => {
      const response = await fetch(`http://${address}/v1/jobs`, {
        method: "POST",
        headers,
        body,
      });
      const { error } = await response.json() as { error: { outcome: string } };
      expect(response.status).to.equal(status);
      expect(error).to.include({ kind, outcome: "not run" });
    });
  }
});

describe("an entry that is removed before it has read its own announcement", () => {
  it("announces itself again", async () => {
    // Guards against a process that stalls at its start, is removed meanwhile,
    // and then waits for its membership indefinitely.
    const standIn = new LogStandIn();
    const logAddress = `127.0.0.1:${await standIn.start()}`;
    const settings = ProcessSettings.parse({
      ...{ name: "entry", zone: "a", host: "127.0.0.1", peerPort: 0 },
      ...{ httpPort: 0, logAddress, logLevel: "error" },
    });
    const entry = new EntryProcess(createProcessContext(settings, "entry"));
    await entry.start();
    const log = new HttpLogService(logAddress);
    let memberId: string | undefined;
    while (memberId === undefined) {
      const page = (await log.read(1, 10))._unsafeUnwrap();
      const records = page.records.map(({ json }) => JSON.parse(json));
      memberId = records.find(({ type }) => type === "announce")?.member.id;
    }
    await log.append({ type: "leave", memberId, phase: "left" });
    while (
      (await fetch(`http://${entry.httpAddress}/readyz`)).status !== 200
    ) {
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    await entry.stop();
    standIn.stop();
  });
});

describe("an invalid settings file", () => {
  it("ends the process with code 2 and a message that names the path", () => {
    // Guards against a process that replaces an invalid setting by its default.
    const path = join(mkdtempSync(join(tmpdir(), "cranberrybank-")), "a.json");
    writeFileSync(
      path,
      '{"name":"a","zone":"a","host":"127.0.0.1","httpPort":"x"}',
    );
    const binary = new URL("../../src/bin/entry.js", import.meta.url).pathname;
    const run = spawnSync(process.execPath, [binary, path]);
    expect(run.status).to.equal(2);
    expect(String(run.stderr)).to.include(path).and.include('"httpPort"');
  });
});

describe("a port in use", () => {
  it("ends the process with code 1 and a message", async () => {
    // Guards against a process that stays up and never becomes ready.
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const path = join(mkdtempSync(join(tmpdir(), "cranberrybank-")), "a.json");
    const settings = {
      ...{ name: "a", zone: "a", host: "127.0.0.1", peerPort: 0 },
      httpPort: (server.address() as AddressInfo).port,
      logAddress: "127.0.0.1:1",
    };
    writeFileSync(path, JSON.stringify(settings));
    const binary = new URL("../../src/bin/entry.js", import.meta.url).pathname;
    const run = spawnSync(process.execPath, [binary, path]);
    server.close();
    expect(run.status).to.equal(1);
    expect(String(run.stderr)).to.include("EADDRINUSE");
  });
});

describe("a log that can't be reached at the start", () => {
  it("leaves the process healthy but not ready, and logs what it waits for", async () => {
    // Guards against a process that exits, or is restarted repeatedly, during
    // an outage of the log.
    const folder = mkdtempSync(join(tmpdir(), "cranberrybank-"));
    const path = join(folder, "entry.json");
    const [httpPort, logPort] = [await findFreePort(), await findFreePort()];
    writeFileSync(
      path,
      JSON.stringify({
        ...{ name: "a", zone: "a", host: "127.0.0.1", httpPort, peerPort: 0 },
        logAddress: `127.0.0.1:${logPort}`,
      }),
    );
    const binary = new URL("../../src/bin/entry.js", import.meta.url).pathname;
    const child = spawn(process.execPath, [binary, path]);
    let output = "";
    for await (const chunk of child.stdout) {
      output += chunk;
      if (output.includes("waiting for the log service")) {
        break;
      }
    }
    const statuses = await Promise.all(
      ["healthz", "readyz"].map(async (name) =>
        (await fetch(`http://127.0.0.1:${httpPort}/${name}`)).status
      ),
    );
    child.kill();
    expect(statuses).to.deep.equal([200, 503]);
    expect(output).to.include(`127.0.0.1:${logPort}`);
  });
});

function findFreePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, "127.0.0.1", () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
