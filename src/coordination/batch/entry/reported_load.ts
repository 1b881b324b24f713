import { addTaskToLoad, type WorkerLoad } from "../../../state/batch/mod.ts";
import type {
  StartRuns,
  WorkerProfile,
  WorkerStatus,
} from "../../messages/mod.ts";

/**
 * The load of one worker as the entry knows it: what its agent has reported last, and
 * the orders that this report doesn't include. It is created when a job asks for it:
 * under load, most reports are replaced by later ones before that.
 */
export class ReportedLoad {
  readonly #agentId: string;
  #profile: WorkerProfile | undefined;
  /** The last report on this profile, and when it arrived. */
  #report: { status: WorkerStatus; at: number } | undefined;
  #unacknowledgedStarts: StartRuns[] = [];
  #load: WorkerLoad | undefined;

  constructor(agentId: string) {
    this.#agentId = agentId;
  }

  get profile(): WorkerProfile | undefined {
    return this.#profile;
  }

  /** Gets the load; undefined before a report on the current profile. */
  get(): WorkerLoad | undefined {
    if (
      this.#load === undefined && this.#profile !== undefined &&
      this.#report !== undefined
    ) {
      this.#load = this.#unacknowledgedStarts.reduce(
        addRuns,
        createLoad(this.#agentId, this.#profile, this.#report),
      );
    }
    return this.#load;
  }

  /** Handles a change of the worker; its status follows. */
  setProfile(profile: WorkerProfile): void {
    this.#profile = profile;
    this.#report = undefined;
    this.#load = undefined;
  }

  /** @param at - When the status arrived, on the monotonic clock. */
  setStatus(status: WorkerStatus, at: number): void {
    if (this.#unacknowledgedStarts.length > 0) {
      this.#unacknowledgedStarts = this.#unacknowledgedStarts.filter(
        ({ batch }) => batch > status.receivedBatch,
      );
    }
    this.#report = { status, at };
    this.#load = undefined;
  }

  /** Adds an order that is sent to the agent. */
  addStart(message: StartRuns): void {
    this.#unacknowledgedStarts.push(message);
    this.#load &&= addRuns(this.#load, message);
  }

  /** Forgets what was reported and ordered on a stream that has ended. */
  clear(): void {
    this.#profile = undefined;
    this.#report = undefined;
    this.#unacknowledgedStarts = [];
    this.#load = undefined;
  }
}

function addRuns(load: WorkerLoad, message: StartRuns): WorkerLoad {
  const { priority } = message;
  return message.runs.reduce(
    (changed, order) =>
      addTaskToLoad(changed, {
        resources: order,
        expectedMs: order.expectedMs,
        priority,
        isSuspect: order.crashes > 0,
      }),
    load,
  );
}

function createLoad(
  agentId: string,
  profile: WorkerProfile,
  { status, at }: { status: WorkerStatus; at: number },
): WorkerLoad {
  return {
    agentId,
    zone: profile.zone,
    rack: profile.rack,
    labels: profile.labels,
    capacity: profile,
    free: {
      cpuMillis: status.freeCpuMillis,
      memoryMb: status.freeMemoryMb,
      gpus: status.freeGpus,
    },
    ownSlotShare: 1 / Math.max(1, status.entries),
    slotRoundingOffset: Math.random(),
    slowdown: status.slowdown,
    runningLeftMs: status.runningLeftMs,
    queuedRuns: status.queuedRuns,
    queuedMs: status.queuedMs,
    failureShare: status.failureShare,
    suspectRuns: status.suspectRuns,
    reportedAt: at,
  };
}
