import { expect } from "chai";
import { ConnectPeerClient } from "../../../src/transport/peer/mod.ts";
import { readStreamError } from "../../lib/read_stream_error.ts";

describe("ConnectPeerClient", () => {
  it("ends a stream with an error when the port is out of range", async () => {
    // Guards against an entry that no longer connects to an agent.
    const stream = new ConnectPeerClient().open("127.0.0.1:99999");
    expect(await readStreamError(stream)).to.contain("Invalid URL");
  });
});
