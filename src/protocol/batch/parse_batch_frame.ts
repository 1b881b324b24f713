/**
 * Decodes the frames that `formatBatchFrame` encodes. Frames come from the
 * project's own processes, so only their outer form is checked. Fields of frequent
 * frames are read by index: destructuring an array runs its iterator, which costs
 * several times as much until the compiler has optimised the function.
 */
import type { CrashedRun } from "../../state/batch/mod.ts";
import type {
  BatchBody,
  BatchFrame,
  CancelReason,
  JobClaimReply,
  RunEnd,
  RunOrder,
  StartRuns,
  WorkerProfile,
  WorkerStatus,
} from "../../coordination/messages/mod.ts";

type StartRunsRow = [
  batch: number,
  jobId: string,
  spec: string,
  priority: number,
  timeLeftMs: number,
  targetLeftMs: number,
  runs: RunOrderRow[],
  route: string,
  ageMs: number,
  claimNumber: number,
  awaitedHomes: number,
  detourMs?: number | null,
  workerRevision?: number | null,
];

type RunOrderRow = [
  task: string,
  run: number,
  cpuMillis: number,
  memoryMb: number,
  gpus: number,
  expectedMs: number,
  crashes: number,
  crashedAfterMs: number,
  canBeDeclined: boolean,
  recheckAfterMs?: number,
];

type CrashedRunRow = [
  task: string,
  route: string,
  ranMs: number,
  hasStarted: boolean,
  earlierCrashes: number,
];

type RunEndRow = [
  task: string,
  run: number,
  outcome: string,
  runMs: number,
  detail: string,
];

type ProfileRow = [
  workerId: string,
  cpuMillis: number,
  memoryMb: number,
  gpus: number,
  labels: string[],
  zone: string,
  service: string,
  rack?: string,
  revision?: number,
];

type StatusRow = [
  acceptsWork: boolean,
  isSettled: boolean,
  freeCpuMillis: number,
  freeMemoryMb: number,
  freeGpus: number,
  entries: number,
  slowdown: number,
  runningLeftMs: number[],
  queuedRuns: number[],
  queuedMs: number[],
  receivedBatch: number,
  failureShare: number,
  suspectRuns: number,
];

/**
 * Parses a frame. Returns undefined for a kind that this version doesn't know.
 * Throws an error for text that is not a frame.
 */
export function parseBatchFrame(text: string): BatchFrame | undefined {
  const row: unknown = JSON.parse(text);
  if (!Array.isArray(row) || typeof row[2] !== "string") {
    throw new Error("received data that is not a frame");
  }
  const kind = parseBody(row[2] as BatchBody["case"], row.slice(3));
  return kind === undefined
    ? undefined
    : { sentAtMs: row[0] as number, echoAtMs: row[1] as number, kind };
}

function parseBody(
  kindCase: BatchBody["case"],
  fields: unknown[],
): BatchBody | undefined {
  switch (kindCase) {
    case "hello": {
      const [name, incarnation, stream, uptimeMs] = fields as [
        string,
        string,
        number,
        number,
      ];
      const value = { name, incarnation, stream, uptimeMs };
      return { case: kindCase, value };
    }
    case "announce":
      return { case: kindCase, value: {} };
    case "ping": {
      const [operatorOffset] = fields as [number];
      return { case: kindCase, value: { operatorOffset } };
    }
    case "startRuns":
      return { case: kindCase, value: parseStartRuns(fields as StartRunsRow) };
    case "stopRuns":
      return { case: kindCase, value: { tasks: fields as string[] } };
    case "runEnds": {
      const ends = (fields as RunEndRow[]).map(parseRunEnd);
      return { case: kindCase, value: { ends } };
    }
    case "workerProfile":
      return { case: kindCase, value: parseProfile(fields as ProfileRow) };
    case "workerCrash": {
      const [id, ageMs, rows] = fields as [string, number, CrashedRunRow[]];
      const runs = rows.map(parseCrashedRun);
      return { case: kindCase, value: { id, ageMs, runs } };
    }
    case "workerStatus":
      return { case: kindCase, value: parseStatus(fields as StatusRow) };
    case "readOperatorState": {
      const [offset, position] = fields as [number, number];
      return { case: kindCase, value: { offset, position } };
    }
    case "operatorStatePart": {
      const [offset, position, length, text] = fields as [
        number,
        number,
        number,
        string,
      ];
      return { case: kindCase, value: { offset, position, length, text } };
    }
    case "claimJob": {
      const [jobId, number, ageMs, isDeciding, notify, spec] = fields as [
        string,
        number,
        number,
        boolean,
        string[],
        string | null,
      ];
      return {
        case: kindCase,
        value: {
          ...{ jobId, number, ageMs, isDeciding, notify },
          spec: spec ?? undefined,
        },
      };
    }
    case "jobGranted": {
      const [entry, incarnation, jobId, number, home, spec] = fields as [
        string,
        string,
        string,
        number,
        string,
        string | null,
      ];
      return {
        case: kindCase,
        value: {
          ...{ entry, incarnation, jobId, number, home },
          spec: spec ?? undefined,
        },
      };
    }
    case "confirmJob": {
      const [jobId, number, spec] = fields as [string, number, string | null];
      const value = { jobId, number, spec: spec ?? undefined };
      return { case: kindCase, value };
    }
    case "claimReply": {
      const [jobId, number, outcome, holder] = fields as [
        string,
        number,
        JobClaimReply["outcome"],
        string,
      ];
      return { case: kindCase, value: { jobId, number, outcome, holder } };
    }
    case "releaseJobs":
      return { case: kindCase, value: { jobIds: fields as string[] } };
    case "cancelJob": {
      const [jobId, reason] = fields as [string, CancelReason];
      return { case: kindCase, value: { jobId, reason } };
    }
    case "openJobs": {
      const [isComplete, openJobIds, endedJobIds] = fields as [
        boolean,
        string[],
        string[],
      ];
      return {
        case: kindCase,
        value: { isComplete, openJobIds, endedJobIds },
      };
    }
    default:
      kindCase satisfies never;
      return undefined;
  }
}

function parseStartRuns(row: StartRunsRow): StartRuns {
  const startRuns: StartRuns = {
    batch: row[0],
    jobId: row[1],
    spec: row[2],
    priority: row[3],
    timeLeftMs: row[4],
    targetLeftMs: row[5],
    runs: row[6].map(parseRunOrder),
    route: row[7],
    ageMs: row[8],
    claimNumber: row[9],
    awaitedHomes: row[10],
  };
  // Entries of earlier versions don't send them.
  if (typeof row[11] === "number") {
    startRuns.detourMs = row[11];
  }
  if (typeof row[12] === "number") {
    startRuns.workerRevision = row[12];
  }
  return startRuns;
}

function parseRunOrder(row: RunOrderRow): RunOrder {
  return {
    task: row[0],
    run: row[1],
    cpuMillis: row[2],
    memoryMb: row[3],
    gpus: row[4],
    expectedMs: row[5],
    crashes: row[6],
    crashedAfterMs: row[7],
    canBeDeclined: row[8],
    ...(row[9] === undefined ? {} : { recheckAfterMs: row[9] }),
  };
}

function parseCrashedRun(row: CrashedRunRow): CrashedRun {
  const [task, route, ranMs, hasStarted, earlierCrashes] = row;
  return { task, route, ranMs, hasStarted, earlierCrashes };
}

function parseRunEnd(row: RunEndRow): RunEnd {
  return {
    task: row[0],
    run: row[1],
    outcome: row[2],
    runMs: row[3],
    detail: row[4],
  };
}

function parseProfile(row: ProfileRow): WorkerProfile {
  const [workerId, cpuMillis, memoryMb, gpus, labels, zone, service] = row;
  // Agents of earlier versions don't send the rack, or the revision.
  const rack = row[7] ?? "";
  const revision = row[8] ?? 0;
  return {
    ...{ workerId, cpuMillis, memoryMb, gpus, labels, zone, service, rack },
    revision,
  };
}

function parseStatus(row: StatusRow): WorkerStatus {
  return {
    acceptsWork: row[0],
    isSettled: row[1],
    freeCpuMillis: row[2],
    freeMemoryMb: row[3],
    freeGpus: row[4],
    entries: row[5],
    slowdown: row[6],
    runningLeftMs: row[7],
    queuedRuns: row[8],
    queuedMs: row[9],
    receivedBatch: row[10],
    failureShare: row[11],
    suspectRuns: row[12],
  };
}
