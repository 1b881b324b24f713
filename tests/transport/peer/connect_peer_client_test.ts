import { expect } from "chai";
import { ConnectPeerClient } from "../../../src/transport/peer/mod.ts";

describe("ConnectPeerClient", () => {
  it("ends a stream with an error when the port is out of range", async () => {
    // Guards against an entry that no longer connects to an agent.
    const stream = new ConnectPeerClient().open("127.0.0.1:99999");
    let message = "";
    try {
      for await (const _ of stream.received) {
        // Nothing arrives.
      }
    } catch (error) {
      message = (error as Error).message;
    }
    expect(message).to.contain("Invalid URL");
  });
});
