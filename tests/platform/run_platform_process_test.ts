import { expect } from "chai";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findFreePort } from "../../scripts/lib/find_free_port.ts";
import { waitFor } from "../../scripts/lib/wait_for.ts";
import { SoakProcess } from "../../scripts/soak/soak_process.ts";

describe("a program of the platform", function () {
  this.timeout(60_000);

  it("goes on with its planned stop when it is asked to stop again", async () => {
    const readyAddress = `127.0.0.1:${await findFreePort()}`;
    const entry = new SoakProcess({
      role: "entry",
      name: "entry-1",
      folder: mkdtempSync(join(tmpdir(), "cranberrybank-program-")),
      settings: {
        name: "entry-1",
        zone: "a",
        // Nothing listens there.
        storeAddress: "127.0.0.1:9",
        metricsPort: await findFreePort(),
        jobAddress: `127.0.0.1:${await findFreePort()}`,
        readyAddress,
        farFactor: 1.5,
      },
    });
    entry.start();
    const ask = () => fetch(`http://${readyAddress}/`);
    await waitFor("the entry", async () => (await ask()).status === 503);
    entry.sendSignal("SIGTERM");
    await new Promise((resolve) => setTimeout(resolve, 300));
    entry.sendSignal("SIGTERM");
    await new Promise((resolve) => setTimeout(resolve, 300));
    // Still there: an entry drains for seconds.
    expect((await ask()).status).to.equal(503);
    expect(await entry.waitForEnd()).to.equal(0);
  });
});
