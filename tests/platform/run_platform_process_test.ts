import { expect } from "chai";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findFreePort } from "../../scripts/lib/find_free_port.ts";
import { waitFor } from "../../scripts/lib/wait_for.ts";
import { SoakProcess } from "../../scripts/soak/soak_process.ts";

describe("a process of the platform", function () {
  this.timeout(60_000);

  it("continues its graceful stop on a second SIGTERM", async () => {
    const readyAddress = `127.0.0.1:${await findFreePort()}`;
    const entry = new SoakProcess({
      role: "entry",
      name: "entry-1",
      folder: mkdtempSync(join(tmpdir(), "cranberrybank-program-")),
      settings: {
        name: "entry-1",
        zone: "a",
        // Nothing listens at this address.
        storeAddress: "127.0.0.1:9",
        metricsPort: await findFreePort(),
        jobAddress: `127.0.0.1:${await findFreePort()}`,
        readyAddress,
        farFactor: 1.5,
      },
    });
    entry.start();
    const checkReadiness = () => fetch(`http://${readyAddress}/`);
    await waitFor(
      "the entry",
      async () => (await checkReadiness()).status === 503,
    );
    entry.sendSignal("SIGTERM");
    await new Promise((resolve) => setTimeout(resolve, 300));
    entry.sendSignal("SIGTERM");
    await new Promise((resolve) => setTimeout(resolve, 300));
    // Still running: an entry drains for several seconds.
    expect((await checkReadiness()).status).to.equal(503);
    expect(await entry.waitForFinalExit()).to.equal(0);
  });
});
