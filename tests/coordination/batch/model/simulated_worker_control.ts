/** The calls from the process of an agent to the worker beside it. */
import { err, ok, type Result } from "neverthrow";
import type {
  LeaseRenewal,
  LeaseReport,
  StartRunOrder,
  StopRunOrder,
  WorkerControl,
  WorkerOrder,
  WorkerReply,
} from "../../../../src/coordination/ports/mod.ts";
import {
  createError,
  type DispatchError,
  type ErrorKind,
} from "../../../../src/state/errors/mod.ts";
import type { TestRandom } from "../../../lib/test_random.ts";
import type { SimulatedProcess } from "./simulated_process.ts";
import type { SimulatedTime } from "./simulated_time.ts";
import type { SimulatedWorker } from "./simulated_worker.ts";

/** Bounds of the delay of a call or reply, in microseconds. */
const DELAY_US = { min: 100, max: 2_000 } as const;

export interface SimulatedWorkerControlOptions {
  time: SimulatedTime;
  random: TestRandom;
  process: SimulatedProcess;
  worker: SimulatedWorker;
  /**
   * Takes the delay of a call that is carried out late and gets no reply, in
   * milliseconds; undefined for an ordinary call.
   */
  takeLateness: () => number | undefined;
}

type Respond<T> = (reply: T) => void;

export class SimulatedWorkerControl implements WorkerControl {
  readonly #options: SimulatedWorkerControlOptions;

  constructor(options: SimulatedWorkerControlOptions) {
    this.#options = options;
  }

  startRun(order: StartRunOrder): Promise<Result<WorkerReply, DispatchError>> {
    const { worker } = this.#options;
    return this.#call(
      order,
      (respond) => respond(worker.executeStart(order)),
    );
  }

  stopRun(order: StopRunOrder): Promise<Result<WorkerReply, DispatchError>> {
    const { worker } = this.#options;
    return this.#call(order, (respond) => respond(worker.executeStop(order)));
  }

  renewLease(
    renewal: LeaseRenewal,
  ): Promise<Result<WorkerReply | LeaseReport, DispatchError>> {
    const { worker } = this.#options;
    return this.#call<WorkerReply | LeaseReport>(
      renewal,
      (respond) => worker.executeRenewal(renewal, respond),
    );
  }

  #call<T>(
    order: WorkerOrder,
    execute: (respond: Respond<T>) => void,
  ): Promise<Result<T, DispatchError>> {
    const { time, process, worker, takeLateness } = this.#options;
    const getProcess = () => process;
    return new Promise((resolve) => {
      const fail = (kind: ErrorKind, delayMs: number) => {
        time.schedule(
          delayMs,
          () => resolve(err(createError(kind, kind))),
          { getProcess },
        );
      };
      if (!worker.isUp) {
        fail("upstream_unreachable", this.#getDelayMs());
        return;
      }
      const life = worker.lifeCount;
      const breakCall = () => {
        timeout.isCancelled = true;
        fail("upstream_reset", 0);
      };
      worker.openCalls.add(breakCall);
      const timeout = time.schedule(order.timeoutMs, () => {
        worker.openCalls.delete(breakCall);
        resolve(err(createError("timeout", "no answer in time")));
      }, { kind: "timer", getProcess });
      const lateness = takeLateness();
      const respond: Respond<T> = lateness === undefined
        ? (reply) => {
          timeout.isCancelled = true;
          worker.openCalls.delete(breakCall);
          time.schedule(this.#getDelayMs(), () => resolve(ok(reply)), {
            getProcess,
          });
        }
        : () => {};
      time.schedule(lateness ?? this.#getDelayMs(), () => {
        if (worker.isUp && worker.lifeCount === life) {
          execute(respond);
        }
      }, { getProcess: () => undefined });
    });
  }

  #getDelayMs(): number {
    return this.#options.random.getInt(DELAY_US.min, DELAY_US.max) / 1_000;
  }
}
