/**
 * Decodes the frames that `formatBatchFrame` encodes. Frames come from the
 * project's own processes, so only their outer form is checked.
 */
import type { CrashedRun } from "../../state/batch/mod.ts";
import type {
  BatchBody,
  BatchFrame,
  CancelReason,
  JobClaimReply,
  RunEnd,
  RunOrder,
  WorkerProfile,
  WorkerStatus,
} from "../../coordination/messages/mod.ts";

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

type RunEndRow = [string, number, string, number, string];

type ProfileRow = [string, number, number, number, string[], string, string];

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
  const [sentAtMs, echoAtMs, kindCase, ...fields] = row as [
    number,
    number,
    string,
    ...unknown[],
  ];
  const kind = parseBody(kindCase as BatchBody["case"], fields);
  return kind === undefined ? undefined : { sentAtMs, echoAtMs, kind };
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
    case "startRuns": {
      const [
        batch,
        jobId,
        spec,
        priority,
        timeLeftMs,
        targetLeftMs,
        rows,
        route,
        ageMs,
        claimNumber,
        awaitedHomes,
      ] = fields as [
        number,
        string,
        string,
        number,
        number,
        number,
        RunOrderRow[],
        string,
        number,
        number,
        number,
      ];
      return {
        case: kindCase,
        value: {
          batch,
          jobId,
          ageMs,
          claimNumber,
          awaitedHomes,
          route,
          spec,
          priority,
          timeLeftMs,
          targetLeftMs,
          runs: rows.map(parseRunOrder),
        },
      };
    }
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

function parseRunOrder(row: RunOrderRow): RunOrder {
  const [task, run, cpuMillis, memoryMb, gpus, expectedMs] = row;
  const [, , , , , , crashes, crashedAfterMs, canBeDeclined, recheckAfterMs] =
    row;
  return {
    ...{ task, run, cpuMillis, memoryMb, gpus, expectedMs },
    ...{ crashes, crashedAfterMs, canBeDeclined },
    ...(recheckAfterMs === undefined ? {} : { recheckAfterMs }),
  };
}

function parseCrashedRun(row: CrashedRunRow): CrashedRun {
  const [task, route, ranMs, hasStarted, earlierCrashes] = row;
  return { task, route, ranMs, hasStarted, earlierCrashes };
}

function parseRunEnd([task, run, outcome, runMs, detail]: RunEndRow): RunEnd {
  return { task, run, outcome, runMs, detail };
}

function parseProfile(row: ProfileRow): WorkerProfile {
  const [workerId, cpuMillis, memoryMb, gpus, labels, zone, service] = row;
  return { workerId, cpuMillis, memoryMb, gpus, labels, zone, service };
}

function parseStatus(row: StatusRow): WorkerStatus {
  const [
    acceptsWork,
    isSettled,
    freeCpuMillis,
    freeMemoryMb,
    freeGpus,
    entries,
    slowdown,
    runningLeftMs,
    queuedRuns,
    queuedMs,
    receivedBatch,
    failureShare,
    suspectRuns,
  ] = row;
  return {
    acceptsWork,
    isSettled,
    freeCpuMillis,
    freeMemoryMb,
    freeGpus,
    entries,
    slowdown,
    runningLeftMs,
    queuedRuns,
    queuedMs,
    receivedBatch,
    failureShare,
    suspectRuns,
  };
}
