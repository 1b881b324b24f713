import { expect } from "chai";
import { formatKeyedRecord } from "../../platform/format_keyed_record.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { ScriptedHttpServer } from "./scripted_http_server.ts";

describe("StoreClient", () => {
  let store: ScriptedHttpServer;
  let client: StoreClient;

  beforeEach(async () => {
    store = new ScriptedHttpServer();
    client = new StoreClient(await store.start());
  });

  afterEach(() => store.stop());

  function createItem(key: string, value: string) {
    return { key, value: Buffer.from(value).toString("base64"), offset: 0 };
  }

  it("reads all pages of the newest records, and reports the end that the first page states", async () => {
    store.answers.push(
      {
        status: 200,
        body: { items: [createItem("a", "1")], hasMore: true, end: 4 },
      },
      {
        status: 200,
        body: { items: [createItem("b", "2")], hasMore: false, end: 6 },
      },
    );
    const page = await client.readNewest("operator");
    expect(page._unsafeUnwrap()).to.deep.equal({
      records: [{ key: "a", value: "1" }, { key: "b", value: "2" }],
      end: 4,
    });
    // The key after which the next page begins.
    expect(store.calls[1]?.url).to.contain("dependsOn=a");
  });

  it("goes on after the pages it has when the store refuses the next one", async () => {
    // Guards against a large topic that is never read from a busy store, since each
    // refused page meant a start from the first one.
    const createPage = (key: string, hasMore: boolean, end: number) => ({
      status: 200,
      body: { items: [createItem(key, key)], hasMore, end },
    });
    const refused = { status: 429, body: {} };
    store.answers.push(createPage("a", true, 4), refused);
    expect((await client.readNewest("members")).isErr()).to.equal(true);
    store.answers.push(createPage("b", true, 6), "reset");
    expect((await client.readNewest("members")).isErr()).to.equal(true);
    store.answers.push(createPage("c", false, 7));
    const page = await client.readNewest("members");
    expect(page._unsafeUnwrap()).to.deep.equal({
      records: ["a", "b", "c"].map((key) => ({ key, value: key })),
      end: 4,
    });
    // The next read is a new one.
    store.answers.push(createPage("a", false, 8));
    const next = await client.readNewest("members");
    expect(next._unsafeUnwrap().end).to.equal(8);
  });

  it("distinguishes deleted records from a refused call", async () => {
    const read = () => client.readFrom("operator", { from: 3, waitMs: 10 });
    store.answers.push(
      { status: 410, body: { first: 9 } },
      { status: 429, body: {} },
      { status: 503, body: {} },
      "reset",
    );
    const kinds = [];
    for (let n = 0; n < 4; n++) {
      kinds.push((await read())._unsafeUnwrapErr().kind);
    }
    expect(kinds).to.deep.equal([
      "not_found",
      "log_unreachable",
      "log_unreachable",
      "upstream_reset",
    ]);
  });

  it("times out an unanswered call, and reads over a new connection", async () => {
    const bytes = Buffer.concat([
      Buffer.alloc(16),
      formatKeyedRecord({ key: "k", value: "v" }),
    ]);
    store.answers.push("silent", { status: 200, bytes });
    const options = { from: 0, waitMs: 10 };
    const silent = await client.readFrom("operator", options);
    expect(silent._unsafeUnwrapErr().kind).to.equal("timeout");
    const page = await client.readFrom("operator", options);
    expect(page._unsafeUnwrap().records).to.have.length(1);
  });

  /** Creates an answer with one record that arrives in five parts over 1.5 s. */
  function createSlowAnswer(value: string) {
    const bytes = Buffer.concat([
      Buffer.alloc(16),
      formatKeyedRecord({ key: "k", value }),
    ]);
    const partBytes = Math.ceil(bytes.length / 5);
    const parts = [0, 1, 2, 3, 4].map((n) =>
      bytes.subarray(n * partBytes, (n + 1) * partBytes)
    );
    return { status: 200, parts, delayMs: 300 };
  }

  it("reads a large record over a slow link, however long it takes", async () => {
    const value = "v".repeat(250_000);
    store.answers.push(createSlowAnswer(value));
    const page = await client.readFrom("operator", { from: 0, waitMs: 10 });
    expect(page._unsafeUnwrap().records).to.deep.equal([{ key: "k", value }]);
  });

  it("tells its caller of the progress of an answer before it is complete", async () => {
    // Guards against a caller that takes a large answer for a lost one.
    store.answers.push(createSlowAnswer("v".repeat(250_000)));
    const counts: number[] = [];
    const page = await client.readFrom("operator", {
      ...{ from: 0, waitMs: 10, onProgress: (count) => counts.push(count) },
    });
    expect(page.isOk()).to.equal(true);
    expect(counts.length).to.be.at.least(5);
    expect(counts.reduce((sum, count) => sum + count)).to.be.above(250_000);
  });

  it("gives up an answer that is far larger than a page of records", async () => {
    // Guards against a process that runs out of memory because of one answer.
    store.answers.push({ status: 200, bytes: Buffer.alloc(20_000_000) });
    const page = await client.readNewest("operator");
    expect(page._unsafeUnwrapErr().message).to.contain("more than 16777216");
  });

  it("times out an answer that stops in its middle", async () => {
    store.answers.push({
      ...createSlowAnswer("v"),
      delayMs: 100,
      isStalled: true,
    });
    const page = await client.readFrom("operator", { from: 0, waitMs: 10 });
    expect(page._unsafeUnwrapErr().kind).to.equal("timeout");
  });

  it("appends a record by key", async () => {
    store.answers.push({ status: 200, body: { offset: 0, end: 1 } });
    const result = await client.append("members", { key: "k", value: "v" });
    expect(result.isOk()).to.equal(true);
    const [call] = store.calls;
    expect(call?.url).to.contain("log-append?topic=keyed.agents&part=0");
    expect([...call?.body ?? []]).to.deep.equal([0, 0, 0, 3, 1, 107, 118]);
  });
});
