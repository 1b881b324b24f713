/**
 * A stand-in for one worker. It follows the users' page on running tasks: runs
 * under a lease on its own clock, fences, ended runs that are listed until they
 * are acknowledged, a guarded capacity, and reports to the agent beside it.
 */
import * as http from "node:http";
import { call } from "./call.mjs";
import { readBody } from "./read_body.mjs";

/** Longest lease (`holdMaxMs`). */
const MAX_LEASE_MS = 1_000;

/** Time that a stop takes; the pages allow 50 ms (`stopTimeoutMs`). */
const STOP_MS = 40;

/** Interval of the reports (`heartbeatMs`). */
const HEARTBEAT_MS = 1_500;

export class Worker {
  id;
  runs = new Map();
  #options;
  #server = http.createServer((request, response) => {
    void this.#handle(request, response);
  });
  #bornAtMs = 0;
  #clockStartedAt = 0;
  #sequence = 0;
  #endCount = 0;
  #fence = 0;
  #leaseUntilMs = 0;
  #leaseTimer;
  #ended = [];
  #closedRuns = new Map();
  #waiters = [];
  #address = "";
  #isStopped = false;
  #reportTimer;

  /**
   * @param options - `name`, `service`, `zone`, `cpu`, `findTask(task)`, which
   * returns `{ cpu, runMs }`, and `onEvent(event)`.
   */
  constructor(options) {
    this.#options = options;
    this.id = `i-${options.name}`;
  }

  /** Starts listening on a free port, and returns the address. */
  async start() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.#address = `127.0.0.1:${this.#server.address().port}`;
    this.#bornAtMs = Date.now();
    this.#clockStartedAt = performance.now();
    return this.#address;
  }

  /**
   * Sends reports to the agent's address until the worker is stopped.
   * @param phase - Share of the interval that passes before the first report.
   */
  startReports(reportAddress, phase) {
    const send = async () => {
      if (this.#isStopped) {
        return;
      }
      await this.sendReport(reportAddress);
      this.#reportTimer = setTimeout(send, HEARTBEAT_MS);
    };
    this.#reportTimer = setTimeout(send, phase * HEARTBEAT_MS);
  }

  /** Sends one report. */
  async sendReport(reportAddress) {
    this.#sequence++;
    return await call(reportAddress, {
      method: "PUT",
      path: `/cranberrybank/instances/${this.id}`,
      timeoutMs: 1_000,
      body: this.createReport(this.#sequence),
    });
  }

  /** Creates the worker's report about itself. */
  createReport(sequence = this.#sequence) {
    const { service, zone, cpu } = this.#options;
    return {
      service,
      addr: this.#address,
      zone,
      version: "v1",
      slots: 8,
      state: "ready",
      coldLeftMs: 0,
      capacity: { cpu, memMb: 131_072, gpu: 0 },
      labels: ["a", "r1-1"],
      clockMs: Math.floor(this.#getClockMs()),
      born: this.#bornAtMs,
      seq: sequence,
    };
  }

  stop() {
    this.#isStopped = true;
    clearTimeout(this.#reportTimer);
    clearTimeout(this.#leaseTimer);
    for (const { timer } of this.runs.values()) {
      clearTimeout(timer);
    }
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #getClockMs() {
    return performance.now() - this.#clockStartedAt;
  }

  async #handle(request, response) {
    const order = JSON.parse((await readBody(request)).toString());
    const answer = await this.#execute(request, order);
    const body = JSON.stringify({
      clockMs: Math.floor(this.#getClockMs()),
      born: this.#bornAtMs,
      ...answer.body,
    });
    response.writeHead(answer.status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    });
    response.end(body);
  }

  async #execute(request, order) {
    const expected = request.headers["x-cranberrybank-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return { status: 421 };
    }
    const fence = order.fence ?? 0;
    if (fence < this.#fence) {
      return { status: 409, body: { reason: "fence" } };
    }
    this.#fence = fence;
    switch (request.url) {
      case "/cranberrybank/run-start":
        return this.#startRun(order);
      case "/cranberrybank/run-stop":
        return this.#stopRun(order);
      case "/cranberrybank/hold":
        return await this.#hold(order);
      default:
        return { status: 400 };
    }
  }

  #startRun({ task, run, deadlineMs }) {
    if (deadlineMs <= this.#getClockMs()) {
      return { status: 409, body: { reason: "late" } };
    }
    this.#extendLease(deadlineMs);
    if (this.runs.get(task)?.run === run) {
      return { status: 200 };
    }
    if (run <= (this.#closedRuns.get(task) ?? 0)) {
      return { status: 409, body: { reason: "old" } };
    }
    const definition = this.#options.findTask(task);
    if (definition === undefined) {
      return { status: 400 };
    }
    let usedCpu = definition.cpu;
    for (const { cpu } of this.runs.values()) {
      usedCpu += cpu;
    }
    if (usedCpu > this.#options.cpu || this.runs.has(task)) {
      return { status: 409, body: { reason: "room" } };
    }
    const { cpu, runMs } = definition;
    const started = { task, run, cpu, startedAt: performance.now(), runMs };
    started.timer = setTimeout(() => this.#endRun(started, "done"), runMs);
    this.runs.set(task, started);
    this.#options.onEvent({ kind: "start", worker: this.id, task, run });
    return { status: 200 };
  }

  #stopRun({ task, run }) {
    this.#closedRuns.set(task, Math.max(run, this.#closedRuns.get(task) ?? 0));
    const active = this.runs.get(task);
    if (active !== undefined && active.run <= run && !active.isStopping) {
      active.isStopping = true;
      clearTimeout(active.timer);
      active.timer = setTimeout(() => this.#endRun(active, "stopped"), STOP_MS);
    }
    return { status: 200 };
  }

  async #hold({ ackedUpTo, deadlineMs, waitMs }) {
    this.#ended = this.#ended.filter(([number]) => number > (ackedUpTo ?? 0));
    if (deadlineMs !== undefined) {
      this.#extendLease(deadlineMs);
    }
    if (this.#ended.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        this.#waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const now = performance.now();
    return {
      status: 200,
      body: {
        running: [...this.runs.values()].map((run) => [
          run.task,
          run.run,
          "",
          Math.min(99, Math.floor(100 * (now - run.startedAt) / run.runMs)),
          run.cpu,
        ]),
        ended: this.#ended.slice(0, 500),
      },
    };
  }

  #extendLease(deadlineMs) {
    const now = this.#getClockMs();
    const untilMs = Math.min(deadlineMs, now + MAX_LEASE_MS);
    if (untilMs <= this.#leaseUntilMs) {
      return;
    }
    this.#leaseUntilMs = untilMs;
    clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(() => {
      for (const run of [...this.runs.values()]) {
        this.#endRun(run, "lapsed");
      }
    }, Math.max(0, untilMs - now));
  }

  #endRun(run, how) {
    if (this.runs.get(run.task) !== run) {
      return;
    }
    clearTimeout(run.timer);
    this.runs.delete(run.task);
    this.#closedRuns.set(
      run.task,
      Math.max(run.run, this.#closedRuns.get(run.task) ?? 0),
    );
    this.#endCount++;
    this.#ended.push([this.#endCount, run.task, run.run, how, ""]);
    this.#options.onEvent({
      kind: "end",
      worker: this.id,
      task: run.task,
      run: run.run,
      how,
    });
    this.#waiters.splice(0).forEach((wake) => wake());
  }
}
