/**
 * Measures the cost of homes at target scale: 704 homes among 8,800 agents in
 * 11 zones, and 200 entries. Everything runs in one process without a network;
 * gather calls are counted and answered in memory.
 */
import { ok } from "neverthrow";
import { parseArgs } from "node:util";
import {
  DepartureHistory,
  GatherHandler,
} from "../src/coordination/claims/mod.ts";
import { Takeover } from "../src/coordination/claims/mod.ts";
import { LogFollower } from "../src/coordination/follower/mod.ts";
import type {
  GatherRequest,
  StoredAnswer,
} from "../src/coordination/messages/mod.ts";
import { ClaimTable } from "../src/state/claims/mod.ts";
import { HomeFinder } from "../src/state/homes/mod.ts";
import { ClusterView, type LogRecord } from "../src/state/view/mod.ts";

const { values } = parseArgs({
  options: {
    agents: { type: "string", default: "8800" },
    entries: { type: "string", default: "200" },
    zones: { type: "string", default: "11" },
    /** Claims of one home. */
    claims: { type: "string", default: "150000" },
    /** Task starts that one agent keeps: 20 per second for 10 minutes. */
    starts: { type: "string", default: "12000" },
  },
});
const agents = Number(values.agents);
const entries = Number(values.entries);
const zones = Number(values.zones);
const claims = Number(values.claims);
const starts = Number(values.starts);

let now = 1_000_000;
const records: { offset: number; json: string }[] = [];
const view = new ClusterView();
const follower = new LogFollower({
  view,
  log: {} as ConstructorParameters<typeof LogFollower>[0]["log"],
  zone: "z0",
  getTime: () => now,
});
const homes = new HomeFinder(view);
const departureHistory = new DepartureHistory({ follower });

measureAnnouncements();
measureFind();
measureRefresh();
await measureTakeover();
measureGatherHandler();
process.exit(0);

function append(record: LogRecord): void {
  records.push({ offset: records.length + 1, json: JSON.stringify(record) });
  follower.applyRecords(records.slice(-1));
}

function announce(id: string, role: "entry" | "agent", zone: number): void {
  append({
    type: "announce",
    member: {
      ...{ id, name: id, role, zone: `z${zone}`, peerAddress: id },
      ...{ httpAddress: id, services: [], slots: 8 },
    },
  });
}

/** Measures how long a starting process takes to apply all announcements. */
function measureAnnouncements(): void {
  const startedAt = performance.now();
  for (let n = 0; n < entries; n++) {
    announce(`entry-${n}#0000`, "entry", n % zones);
  }
  for (let n = 0; n < agents; n++) {
    announce(`agent-${n}#0000`, "agent", n % zones);
  }
  report("apply all announcements", performance.now() - startedAt, "ms");
}

function measureFind(): void {
  const keys = Array.from({ length: 200_000 }, (_, n) => `customer/key-${n}`);
  keys.slice(0, 10_000).forEach((key) => homes.find(key));
  const startedAt = performance.now();
  keys.forEach((key) => homes.find(key));
  const us = (performance.now() - startedAt) / keys.length * 1_000;
  report(`find, ${homes.getHomeSet().getHomes().length} homes`, us, "us/key");
}

/** Measures the recomputation of the homes after a change that moves no key. */
function measureRefresh(): void {
  const count = 50;
  let total = 0;
  for (let n = 0; n < count; n++) {
    append({
      type: "leave",
      memberId: `entry-${n}#0000`,
      phase: "leaving",
    });
    const startedAt = performance.now();
    homes.getHomeSet();
    total += performance.now() - startedAt;
  }
  report("recompute the homes after a change", total / count, "ms");
}

/**
 * Measures how a home that holds `claims` claims takes over from a removed home
 * of its zone. Every member is asked, and answers with an empty reply.
 */
async function measureTakeover(): Promise<void> {
  const [self, other] = homes.getHomeSet().getZoneHomes("z0");
  const memberId = self?.id ?? "";
  const table = new ClaimTable<StoredAnswer>();
  for (let n = 0; table.size < claims; n++) {
    const key = `customer/key-${n}`;
    if (claims > 20_000 || homes.find(key)?.id === memberId) {
      table.claim(key, "fingerprint-0000", { coordinator: "entry-0#0000" });
    }
  }
  let calls = 0;
  let completedAt = 0;
  const takeover = new Takeover({
    ...{
      memberId,
      zone: "z0",
      follower,
      homes,
      departureHistory,
      table,
    },
    peers: {
      gather: (_address, request) => {
        calls++;
        return Promise.resolve(ok(createEmptyReply(request)));
      },
    },
    gatherHandler: { handle: createEmptyReply },
    onProgress: () => completedAt = performance.now(),
  });
  const cpu = process.cpuUsage();
  const startedAt = performance.now();
  append({
    type: "leave",
    memberId: other?.id ?? "",
    phase: "left",
  });
  const changedMs = performance.now() - startedAt;
  now += 5_000;
  while (takeover.isPending) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const used = process.cpuUsage(cpu);
  report(`react to a lost home with ${table.size} claims`, changedMs, "ms");
  report("takeover, gather calls", calls, "calls");
  report("takeover, time without a network", completedAt - startedAt, "ms");
  report("takeover, CPU", (used.user + used.system) / 1_000, "ms");
}

function createEmptyReply(_request: GatherRequest) {
  const { epoch } = homes;
  return { ready: true, claims: [], epoch, isComplete: true, next: 0 };
}

/**
 * Measures how an agent answers the gather calls of all 704 homes, as it must
 * after the loss of a zone.
 */
function measureGatherHandler(): void {
  const started = new Map<string, string>();
  for (let n = 0; n < starts; n++) {
    started.set(`customer/key-${n}`, "entry-removed#0000");
  }
  const handler = new GatherHandler({
    ...{ memberId: "agent-x", follower, homes, table: new ClaimTable() },
    getStartedKeys: () => started,
  });
  const { epoch } = homes;
  const all = homes.getHomeSet().getHomes();
  const startedAt = performance.now();
  let found = 0;
  for (const home of all) {
    const request = { home: home.id, epoch, since: epoch, position: 0 };
    found += handler.handle(request).claims.length;
  }
  const ms = performance.now() - startedAt;
  report(`answer ${all.length} homes with ${found} starts`, ms, "ms");
}

function report(title: string, value: number, unit: string): void {
  console.log(`${title.padEnd(52)} ${value.toFixed(3).padStart(12)} ${unit}`);
}
