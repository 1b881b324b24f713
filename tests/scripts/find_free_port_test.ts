import { expect } from "chai";
import { findFreePort } from "../../scripts/lib/find_free_port.ts";

describe("findFreePort", () => {
  it("returns no port to which fetch refuses to send requests", async () => {
    // Guards against a process of a test that never seems to become ready.
    const ports = [
      await findFreePort({ firstPort: 10_079, count: 3 }),
      await findFreePort({ firstPort: 10_079, count: 3 }),
    ];
    expect(ports).to.have.members([10_079, 10_081]);
  });
});
