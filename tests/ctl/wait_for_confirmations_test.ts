import { expect } from "chai";
import { LogFollower } from "../../src/coordination/follower/mod.ts";
import { waitForConfirmations } from "../../src/ctl/wait_for_confirmations.ts";
import { LogStandIn } from "../../src/stand_in/mod.ts";
import { ClusterView, type Member } from "../../src/state/view/mod.ts";
import {
  createJsonResponse,
  HttpServer,
} from "../../src/transport/http/mod.ts";
import { HttpLogService } from "../../src/transport/log/mod.ts";

describe("waitForConfirmations", () => {
  it("counts confirmations that entries know from heartbeats, and lists the members that didn't confirm", async () => {
    // Guards against counting a member as confirmed that is unreachable, or
    // whose process was replaced by another incarnation.
    const standIn = new LogStandIn();
    const log = new HttpLogService(`127.0.0.1:${await standIn.start()}`);
    const server = new HttpServer({
      host: "127.0.0.1",
      port: 0,
      handleRequest: () =>
        createJsonResponse(200, {
          ...{ memberId: "entry#1", offset: 4, revision: 4, ageMs: 1 },
          ...{ canStartWork: true },
          confirmed: { "known#1": 4, "behind#1": 3 },
        }),
    });
    const address = `127.0.0.1:${await server.start()}`;
    for (const name of ["entry", "known", "behind", "replaced"]) {
      const member: Member = {
        id: `${name}#1`,
        name,
        role: name === "entry" ? "entry" : "agent",
        zone: "a",
        peerAddress: "127.0.0.1:1",
        httpAddress: name === "known" ? "127.0.0.1:1" : address,
        services: [],
        slots: 1,
      };
      (await log.append({ type: "announce", member }))._unsafeUnwrap();
    }
    const follower = new LogFollower({
      view: new ClusterView(),
      log,
      zone: "",
    });
    const context = { log, follower, operator: "test", timeoutMs: 1_000 };
    const missing = await waitForConfirmations(context, {
      offset: 4,
      ageLimitMs: 300,
    });
    expect(missing).to.have.members(["behind#1", "replaced#1"]);
    await server.stop();
    standIn.stop();
  });
});
