import { expect } from "chai";
import { Address } from "../../../src/state/address/mod.ts";

const INVALID = [
  ...["127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999"],
  ...["127.0.0.1:1e3", "127.0.0.1:-1", "127.0.0.1:1:2", "999.0.0.1:1"],
  ...["1.2.3:1", "localhost:1", ":1", ""],
];

describe("Address", () => {
  it("accepts an IPv4 address and a port", () => {
    for (const text of ["127.0.0.1:1", "10.1.0.13:65535"]) {
      expect(Address.safeParse(text).success, text).to.equal(true);
    }
  });

  it("accepts nothing that no connection can be opened to", () => {
    for (const text of INVALID) {
      expect(Address.safeParse(text).success, text).to.equal(false);
    }
  });
});
