import { setTimeout as wait } from "node:timers/promises";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { BatchAgent } from "../../../../src/coordination/batch/agent/mod.ts";
import { BatchEntry } from "../../../../src/coordination/batch/entry/mod.ts";
import type { BatchBody } from "../../../../src/coordination/messages/mod.ts";
import type { KeyedStore } from "../../../../src/coordination/ports/mod.ts";
import { createError } from "../../../../src/state/errors/mod.ts";
import { Metrics } from "../../../../src/state/metrics/mod.ts";
import { createRoute } from "../../../lib/create_route.ts";
import { FakeAgentPeers } from "../../../lib/fake_agent_peers.ts";
import { FakeWorker } from "../../../lib/fake_worker.ts";
import { MemoryKeyedStore } from "../../../lib/memory_keyed_store.ts";
import { MemoryStream } from "../../../lib/memory_stream.ts";
import { RecordedLog } from "../../../lib/recorded_log.ts";
import { waitUntil } from "../../../lib/wait_until.ts";

const unreachable = () =>
  Promise.resolve(err(createError("log_unreachable", "no store")));

const NO_STORE: KeyedStore = {
  readNewest: unreachable,
  readFrom: unreachable,
  append: unreachable,
};

const AGENT = { name: "agent-1", address: "10.0.0.1:1", zone: "a" };

const PINGS = 20;

/** Bytes of frames that a peer which only pings may be sent. */
const MAX_UNREQUESTED_BYTES = 20_000;

/** Parses any record as a configuration with the largest size that is published. */
const parseOperatorRecord = () =>
  ok(
    {
      kind: "config",
      config: {
        version: 1,
        maxBodyBytes: 1_000,
        routes: Array.from(
          { length: 1_100 },
          (_, index) =>
            createRoute({ name: `r-${index}`, pathPrefix: `/${index}/` }),
        ),
      },
    } as const,
  );

function createStore(): MemoryKeyedStore {
  const store = new MemoryKeyedStore();
  store.add("operator", "config", "x");
  store.add("members", AGENT.name, JSON.stringify(AGENT));
  return store;
}

function createAgent(store: KeyedStore): BatchAgent {
  return new BatchAgent({
    ...{ name: AGENT.name, incarnation: "i", zone: "a", address: "x" },
    ...{ store, control: new FakeWorker(), maxLeaseMs: 1_000 },
    ...{ peers: new FakeAgentPeers(), log: new RecordedLog() },
    ...{ metrics: new Metrics(), parseOperatorRecord },
  });
}

function createEntry(store: KeyedStore, peers: FakeAgentPeers): BatchEntry {
  return new BatchEntry({
    ...{ name: "entry-1", incarnation: "i", store, peers },
    ...{ log: new RecordedLog(), metrics: new Metrics(), farFactor: 1 },
    parseOperatorRecord,
  });
}

function countBytes(bodies: readonly BatchBody[]): number {
  return JSON.stringify(bodies).length;
}

function sendBody(stream: MemoryStream, kind: BatchBody): void {
  const now = Math.floor(performance.now());
  stream.received.add({ sentAtMs: now, echoAtMs: now, kind });
}

function getBodies(stream: MemoryStream): BatchBody[] {
  return stream.sent.map(({ kind }) => kind);
}

/** Opens a stream of an entry to an agent. */
function openStream(agent: BatchAgent): MemoryStream {
  const stream = new MemoryStream();
  void agent.serve(stream);
  const value = { name: "entry-1", incarnation: "i", stream: 1, uptimeMs: 0 };
  sendBody(stream, { case: "hello", value });
  return stream;
}

describe("the operator's state between an entry and an agent", () => {
  it("is not sent with each ping of an entry that is behind", async () => {
    // Guards against agents that keep an entry with a slow link from reading its store.
    const agent = createAgent(createStore());
    agent.start();
    const stream = openStream(agent);
    await waitUntil(
      () => agent.operatorFollower.state.offset > 0,
      "the agent reads its state",
    );
    for (let ping = 0; ping < PINGS; ping++) {
      sendBody(stream, { case: "ping", value: { operatorOffset: 0 } });
      await wait(10);
    }
    const bytes = countBytes(getBodies(stream));
    await agent.stop();
    expect(bytes).to.be.lessThan(MAX_UNREQUESTED_BYTES);
  });

  it("is not sent with each ping of an agent that is behind", async () => {
    const peers = new FakeAgentPeers();
    const entry = createEntry(createStore(), peers);
    entry.start();
    await waitUntil(
      () =>
        peers.hasStream(AGENT.address) &&
        entry.operatorFollower.state.offset > 0,
      "the entry opens a stream",
    );
    for (let ping = 0; ping < PINGS; ping++) {
      peers.sendBody(AGENT.address, {
        ...{ case: "ping", value: { operatorOffset: 0 } },
      });
      await wait(10);
    }
    const sent = peers.opened.flatMap(({ stream }) => getBodies(stream));
    entry.stop();
    expect(countBytes(sent)).to.be.lessThan(MAX_UNREQUESTED_BYTES);
  });

  it("is read in parts by an entry that can't read the store", async () => {
    // Guards against a frame that holds up those behind it for longer than a peer may be silent.
    const agent = createAgent(createStore());
    agent.start();
    const stream = openStream(agent);
    const peers = new FakeAgentPeers();
    const members = createStore();
    const entry = createEntry(
      {
        ...NO_STORE,
        readNewest: (topic) =>
          topic === "members" ? members.readNewest(topic) : unreachable(),
      },
      peers,
    );
    entry.start();
    const { state } = entry.operatorFollower;
    let answered = 0;
    let longest = 0;
    await waitUntil(() => {
      const [opened] = peers.opened;
      const requests = (opened?.stream.sent ?? []).map(({ kind }) => kind)
        .filter((kind) => kind.case === "readOperatorState");
      requests.slice(answered).forEach((kind) => sendBody(stream, kind));
      answered = requests.length;
      const parts = getBodies(stream)
        .filter((kind) => kind.case === "operatorStatePart");
      stream.sent.length = 0;
      for (const kind of parts) {
        longest = Math.max(longest, kind.value.text.length);
        peers.sendBody(AGENT.address, kind);
      }
      const { offset } = agent.operatorFollower.state;
      if (offset > 0) {
        const value = { operatorOffset: offset };
        peers.sendBody(AGENT.address, { case: "ping", value });
      }
      return state.config !== undefined;
    }, "the entry reads the state");
    entry.stop();
    await agent.stop();
    expect(state.config?.routes).to.have.length(1_100);
    expect(longest).to.be.lessThan(MAX_UNREQUESTED_BYTES);
  });
});
