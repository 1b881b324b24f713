/**
 * Encodes the frames of the stream between an entry and an agent. A frame is a
 * JSON array of its send time, its echoed time, its kind, and the fields of
 * that kind in a fixed order. `JSON.stringify` is native code, so it is fast
 * from the first frame of a process on, and arrays leave out the field names.
 * A later version may append fields; receivers ignore those they don't know.
 */
import type { CrashedRun } from "../../state/batch/mod.ts";
import type {
  BatchBody,
  BatchFrame,
  RunEnd,
  RunOrder,
  WorkerProfile,
  WorkerStatus,
} from "../../coordination/messages/mod.ts";

/** Formats a frame as one line of JSON, without a line break. */
export function formatBatchFrame(frame: BatchFrame): string {
  const { sentAtMs, echoAtMs, kind } = frame;
  return JSON.stringify([sentAtMs, echoAtMs, kind.case, ...getFields(kind)]);
}

function getFields(body: BatchBody): unknown[] {
  switch (body.case) {
    case "hello": {
      const { name, incarnation, stream, uptimeMs } = body.value;
      return [name, incarnation, stream, uptimeMs];
    }
    case "announce":
      return [];
    case "ping":
      return [body.value.operatorOffset];
    case "startRuns": {
      const { value } = body;
      return [
        value.batch,
        value.jobId,
        value.spec,
        value.priority,
        value.timeLeftMs,
        value.targetLeftMs,
        value.runs.map(createRunOrderRow),
        value.route,
        value.ageMs,
        value.claimNumber,
        value.awaitedHomes,
        value.detourMs,
        value.workerRevision,
      ];
    }
    case "stopRuns":
      return body.value.tasks;
    case "runEnds":
      return body.value.ends.map(createRunEndRow);
    case "workerProfile":
      return createProfileRow(body.value);
    case "workerCrash":
      return [
        body.value.id,
        body.value.ageMs,
        body.value.runs.map(createCrashedRunRow),
      ];
    case "workerStatus":
      return createStatusRow(body.value);
    case "readOperatorState":
      return [body.value.offset, body.value.position];
    case "operatorStatePart": {
      const { offset, position, length, text } = body.value;
      return [offset, position, length, text];
    }
    case "claimJob": {
      const { jobId, number, ageMs, isDeciding, notify, spec } = body.value;
      return [jobId, number, ageMs, isDeciding, notify, spec];
    }
    case "jobGranted": {
      const { entry, incarnation, jobId, number, home, spec } = body.value;
      return [entry, incarnation, jobId, number, home, spec];
    }
    case "confirmJob":
      return [body.value.jobId, body.value.number, body.value.spec];
    case "claimReply": {
      const { jobId, number, outcome, holder } = body.value;
      return [jobId, number, outcome, holder];
    }
    case "releaseJobs":
      return body.value.jobIds;
    case "cancelJob":
      return [body.value.jobId, body.value.reason];
    case "openJobs": {
      const { isComplete, openJobIds, endedJobIds } = body.value;
      return [isComplete, openJobIds, endedJobIds];
    }
    default:
      return body satisfies never;
  }
}

function createRunOrderRow(order: RunOrder): unknown[] {
  const { task, run, cpuMillis, memoryMb, gpus, expectedMs } = order;
  const { crashes, crashedAfterMs, canBeDeclined, recheckAfterMs } = order;
  return [
    ...[task, run, cpuMillis, memoryMb, gpus, expectedMs],
    ...[crashes, crashedAfterMs, canBeDeclined],
    ...(recheckAfterMs === undefined ? [] : [recheckAfterMs]),
  ];
}

function createCrashedRunRow(run: CrashedRun): unknown[] {
  const { task, route, ranMs, hasStarted, earlierCrashes } = run;
  return [task, route, ranMs, hasStarted, earlierCrashes];
}

function createRunEndRow(end: RunEnd): unknown[] {
  return [end.task, end.run, end.outcome, end.runMs, end.detail];
}

function createProfileRow(profile: WorkerProfile): unknown[] {
  const { workerId, cpuMillis, memoryMb, gpus } = profile;
  const { labels, zone, service, rack, revision } = profile;
  return [
    ...[workerId, cpuMillis, memoryMb, gpus, labels, zone, service, rack],
    revision,
  ];
}

function createStatusRow(status: WorkerStatus): unknown[] {
  return [
    status.acceptsWork,
    status.isSettled,
    status.freeCpuMillis,
    status.freeMemoryMb,
    status.freeGpus,
    status.entries,
    status.slowdown,
    status.runningLeftMs,
    status.queuedRuns,
    status.queuedMs,
    status.receivedBatch,
    status.failureShare,
    status.suspectRuns,
  ];
}
