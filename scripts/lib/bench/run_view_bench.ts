import { ClaimTable } from "../../../src/state/claims/mod.ts";
import { HomeFinder } from "../../../src/state/homes/mod.ts";
import { StartRecords } from "../../../src/state/starts/mod.ts";
import {
  ClusterView,
  type LogRecord,
  type Member,
} from "../../../src/state/view/mod.ts";
import { MemberTable } from "../../../src/state/view/member_table.ts";
import { writeTable } from "./write_table.ts";

const TEAM_COUNT = 180;
const SERVICE_COUNT = 180;
const JOBS_PER_SERVICE = 10;

interface Size {
  readonly agents: number;
  readonly entries: number;
  readonly teams: number;
}

/**
 * Measures the view, the claims and the start records inside this process.
 * @throws Unless node runs with `--expose-gc`.
 */
export function runViewBench(): void {
  const sizes = [
    { agents: 10, entries: 3, teams: 2 },
    { agents: 1_000, entries: 25, teams: TEAM_COUNT },
    { agents: 8_800, entries: 200, teams: TEAM_COUNT },
  ];
  writeTable("view: memory, and CPU time per record", sizes.map(measureView));
  writeTable(
    "view: loss of one zone of 11; observers suspect the members they watch",
    sizes.slice(1).map(measureZoneLoss),
  );
  writeTable(
    "stored claims and start records",
    [1_000, 10_000, 50_000].map(
      measureStoredRecords,
    ),
  );
}

function measureView(size: Size): { [column: string]: number } {
  const before = readHeapBytes();
  const view = new ClusterView();
  let offset = 1;
  const apply = (record: LogRecord) => view.apply(record, offset++);
  apply(createSettingsRecord(size.teams));
  const members = [
    ...createMembers("entry", size.entries),
    ...createMembers("agent", size.agents),
  ];
  const announceMs = measureMeanCpuMs(
    members,
    (member) => apply({ type: "announce", member }),
  );
  const memoryMb = (readHeapBytes() - before) / 1e6;
  const changeMs = measureMeanCpuMs(
    Array.from({ length: 20 }),
    (_, count) => apply(createChangeRecord(count)),
  );
  const suspectMs = measureSuspectRecords(view, { role: "agent", apply });
  const entrySuspectMs = measureSuspectRecords(view, { role: "entry", apply });
  const { snapshotMs, snapshotBytes, restoreMs } = measureSnapshot(view);
  const homes = new HomeFinder(view);
  const refreshMs = measureMeanCpuMs([0], () => homes.find("first"));
  const findMs = measureMeanCpuMs(
    Array.from({ length: 20_000 }, (_, i) => `key-${i}`),
    (key) => homes.find(key),
  );
  return {
    agents: size.agents,
    entries: size.entries,
    teams: size.teams,
    "heap MB": memoryMb,
    "announce ms": announceMs,
    "change ms": changeMs,
    "suspect agents ms": suspectMs,
    "suspect entry ms": entrySuspectMs,
    "snapshot MB": snapshotBytes / 1e6,
    "snapshot ms": snapshotMs,
    "restore snapshot ms": restoreMs,
    "homes refresh ms": refreshMs,
    "home find ms": findMs,
  };
}

function createSettingsRecord(teams: number): LogRecord {
  const rules = { timeoutMs: 5_000, deadlineMs: 30_000, priority: 5 };
  const jobs = Object.fromEntries(
    Array.from({ length: JOBS_PER_SERVICE }, (_, i) => [`job-${i}`, { rules }]),
  );
  const services = Object.fromEntries(
    Array.from({ length: teams }, (_, i) => [`service-${i}`, { rules, jobs }]),
  );
  const quota = { weight: 2, maxRunning: 1_000, maxQueued: 5_000 };
  const names = Array.from({ length: teams }, (_, i) => `team-${i}`);
  const teamQuotas = Object.fromEntries(names.map((name) => [name, quota]));
  const value = {
    rules,
    services,
    customers: { groupement: { teams: teamQuotas } },
  };
  const edits = Object.entries(value).map(([path, value]) => ({ path, value }));
  return {
    ...{ type: "change", id: "tree", baseRevision: 0, operator: "bench" },
    edits,
  };
}

function createChangeRecord(count: number): LogRecord {
  const path = `services.service-${count % 2}.jobs.job-${
    count % JOBS_PER_SERVICE
  }.rules.priority`;
  return {
    ...{ type: "change", id: `change-${count}`, operator: "bench" },
    baseRevision: Number.MAX_SAFE_INTEGER,
    edits: [{ path, value: count % 10 }],
  };
}

function createMembers(role: "entry" | "agent", count: number): Member[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `${role}-${i}#0123456789abcdef`,
    name: `${role}-${i}`,
    role,
    zone: `zone-${i % 11}`,
    rack: `rack-${Math.floor(i / 3)}`,
    peerAddress: `10.${i >> 16}.${(i >> 8) & 255}.${i & 255}:7001`,
    httpAddress: `10.${i >> 16}.${(i >> 8) & 255}.${i & 255}:7000`,
    services: role === "agent"
      ? Array.from(
        { length: 4 },
        (_, s) => `service-${(i + s) % SERVICE_COUNT}`,
      )
      : [],
    slots: role === "agent" ? 8 : 0,
  }));
}

/**
 * Measures `suspect` records that up to 50 entries write about three agents, or
 * up to 50 agents about one entry.
 * @returns The mean CPU time per record, in milliseconds.
 */
function measureSuspectRecords(
  view: ClusterView,
  options: { role: "entry" | "agent"; apply: (record: LogRecord) => void },
): number {
  const { role, apply } = options;
  const count = role === "agent" ? 3 : 1;
  const memberIds = view.getMembers(role).slice(0, count).map(({ id }) => id);
  const observers = view.getMembers(role === "agent" ? "entry" : "agent");
  return measureMeanCpuMs(
    observers.slice(0, 50),
    ({ id }) =>
      apply({ type: "suspect", observerId: id, memberIds, timeMs: 0 }),
  );
}

/**
 * Measures the `suspect` records that follow the loss of a zone, until its
 * members are removed.
 */
function measureZoneLoss(size: Size): { [column: string]: number } {
  const table = new MemberTable({ getEntriesPerAgent: () => undefined });
  let offset = 1;
  const members = [
    ...createMembers("entry", size.entries),
    ...createMembers("agent", size.agents),
  ];
  members.forEach((member) => table.announce(member, offset++));
  const lostIds = new Set(
    members.filter(({ zone }) => zone === "zone-0").map(({ id }) => id),
  );
  const watchedIds = new Map<string, string[]>();
  for (const { id, role } of members) {
    for (const entryId of role === "agent" ? table.getEntriesOf(id) : []) {
      watchedIds.set(id, [...watchedIds.get(id) ?? [], entryId]);
      watchedIds.set(entryId, [...watchedIds.get(entryId) ?? [], id]);
    }
  }
  let records = 0;
  let bytes = 0;
  const cpuMs = measureMeanCpuMs([0], () => {
    for (const { id } of members.filter(({ id }) => !lostIds.has(id))) {
      const suspects = (watchedIds.get(id) ?? []).filter((other) =>
        lostIds.has(other) && table.get(other) !== undefined
      );
      if (suspects.length > 0) {
        records++;
        bytes += JSON.stringify(suspects).length;
        table.suspect(id, suspects, { offset: offset++, timeMs: 0 });
      }
    }
  });
  return {
    agents: size.agents,
    entries: size.entries,
    "members lost": lostIds.size,
    "not removed": [...lostIds].filter((id) => table.get(id)).length,
    records,
    "ids in records B": bytes,
    "cpu ms total": cpuMs,
    "cpu ms per record": cpuMs / records,
  };
}

function measureSnapshot(view: ClusterView) {
  let text = "";
  const snapshotMs = measureMeanCpuMs(Array.from({ length: 5 }), () => {
    text = JSON.stringify(view.createSnapshot());
  });
  const restoreMs = measureMeanCpuMs(Array.from({ length: 5 }), () => {
    new ClusterView().restoreSnapshot(JSON.parse(text));
  });
  return { snapshotMs, snapshotBytes: text.length, restoreMs };
}

function measureStoredRecords(count: number): { [column: string]: number } {
  const before = readHeapBytes();
  const claims = new ClaimTable<{ body: Uint8Array }>();
  for (let i = 0; i < count; i++) {
    const key = `customer/${createKey(i)}`;
    claims.claim(key, "0123456789abcdef", { coordinator: "entry-1#01234567" });
    claims.complete(key, "0123456789abcdef", {
      coordinator: "entry-1#01234567",
      answer: { body: new Uint8Array(200) },
    });
  }
  const claimBytes = (readHeapBytes() - before) / count;
  const beforeRecords = readHeapBytes();
  const startRecords = new StartRecords<{ body: Uint8Array }>();
  for (let i = 0; i < count; i++) {
    startRecords.set(
      { key: `customer/${createKey(i)}`, index: i % 20, attempt: 1 },
      {
        state: "started",
        coordinator: "entry-1#01234567",
        result: Promise.resolve({ body: new Uint8Array(20) }),
      },
    );
  }
  const recordBytes = (readHeapBytes() - beforeRecords) / count;
  return {
    kept: count,
    sizes: claims.size + startRecords.size,
    "B per claim (answer 200 B)": claimBytes,
    "B per start record (result 20 B)": recordBytes,
  };
}

function createKey(count: number): string {
  return `0f8fad5b-d9cb-469f-a165-${String(count).padStart(12, "0")}`;
}

/** Measures the mean CPU time of a call for an item, in milliseconds. */
function measureMeanCpuMs<T>(
  items: readonly T[],
  run: (item: T, index: number) => unknown,
): number {
  const before = process.cpuUsage();
  items.forEach(run);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1_000 / items.length;
}

/** Reads the memory of objects and buffers, after a garbage collection. */
function readHeapBytes(): number {
  const { gc } = globalThis as { gc?: () => void };
  if (gc === undefined) {
    throw new Error("the view benchmark needs node --expose-gc");
  }
  gc();
  gc();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}
