/** A stand-in for a worker (PROTOCOL.md, "Running tasks" and "Service discovery"). */
import { send, sendJson, serve } from "./http.mjs";

const HEARTBEAT_MS = 1_500;
const HOLD_MAX_MS = 1_000;
const DEFAULT_STOP_MS = 20;

export class Worker {
  #runs = new Map();
  #ended = [];
  #endCount = 0;
  #closed = new Map();
  #fence = 0;
  #leaseUntil = 0;
  #leaseTimer;
  #waiters = [];
  #sequence = 0;
  #isStopped = false;
  #bornAt = Date.now();
  #clockStart = performance.now();

  /**
   * @param options.getTask - Gets `{ runMs, cpu }` of a task.
   * @param options.onEvent - Called with each start and end of a run.
   * @param options.stopMs - Time that a stop takes; the platform allows 50 ms.
   * @param options.answersWhenStopped - Whether a stop is answered once it is done.
   */
  constructor(options) {
    this.options = {
      cpu: 16_000, memMb: 65_536, labels: ["a"], state: "ready", stopMs: DEFAULT_STOP_MS,
      answersWhenStopped: false, ...options,
    };
    this.id = `i-${options.name}`;
  }

  async start() {
    const { server, address } = await serve((...args) => this.#handle(...args));
    this.server = server;
    this.address = address;
  }

  /** Sends status reports until the worker is stopped. */
  async report(controlAddress) {
    const { service, zone, cpu, memMb, labels } = this.options;
    while (!this.#isStopped) {
      this.#sequence++;
      const { done } = send(controlAddress, {
        method: "PUT",
        path: `/cranberrybank/instances/${this.id}`,
        headers: { "content-type": "application/json" },
        timeoutMs: 1_000,
        body: JSON.stringify({
          service, addr: this.address, zone, version: "v1", slots: 8,
          state: this.options.state, coldLeftMs: 0, capacity: { cpu, memMb, gpu: 0 }, labels,
          clockMs: this.#clock(), seq: this.#sequence, born: this.#bornAt,
        }),
      });
      const { status } = await done;
      // Until the agent is there, another try comes soon.
      await new Promise((resolve) => setTimeout(resolve, status === 200 ? HEARTBEAT_MS : 200));
    }
  }

  stop() {
    this.#isStopped = true;
    clearTimeout(this.#leaseTimer);
    for (const run of this.#runs.values()) clearTimeout(run.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  #clock() {
    return Math.round(performance.now() - this.#clockStart);
  }

  async #handle(request, response, body) {
    const expected = request.headers["x-cranberrybank-expect-instance"];
    if (expected !== undefined && expected !== this.id) return sendJson(response, 421, {});
    const order = JSON.parse(body.toString());
    const call = request.url.split("/").at(-1);
    const fence = order.fence ?? 0;
    if (fence < this.#fence) return this.#refuse(response, "fence");
    this.#fence = fence;
    if (call === "run-start") return this.#start(order, response);
    if (call === "run-stop") return this.#stopRun(order, response);
    if (call === "hold") return await this.#hold(order, response);
    sendJson(response, 404, {});
  }

  #start({ task, run, spec, deadlineMs }, response) {
    if (deadlineMs <= this.#clock()) return this.#refuse(response, "late");
    this.#extend(deadlineMs);
    if (this.#runs.get(task)?.run === run) return this.#answer(response);
    const { runMs, cpu } = this.options.getTask(task);
    if (run <= (this.#closed.get(task) ?? 0) || this.#runs.has(task)) {
      return this.#refuse(response, "old");
    }
    const used = [...this.#runs.values()].reduce((sum, other) => sum + other.cpu, 0);
    if (used + cpu > this.options.cpu) return this.#refuse(response, "room");
    this.options.onEvent({ kind: "start", worker: this.id, task, run, spec });
    const entry = { task, run, cpu, timer: undefined, stopped: undefined };
    entry.timer = setTimeout(() => this.#end(entry, "done"), runMs);
    this.#runs.set(task, entry);
    this.#answer(response);
  }

  #stopRun({ task, run }, response) {
    this.#closed.set(task, Math.max(run, this.#closed.get(task) ?? 0));
    const entry = this.#runs.get(task);
    if (entry === undefined || entry.run > run) return this.#answer(response);
    if (entry.stopped === undefined) {
      clearTimeout(entry.timer);
      entry.stopped = new Promise((resolve) => {
        entry.timer = setTimeout(() => {
          this.#end(entry, "stopped");
          resolve();
        }, this.options.stopMs);
      });
    }
    if (this.options.answersWhenStopped) {
      void entry.stopped.then(() => this.#answer(response));
    } else {
      this.#answer(response);
    }
  }

  async #hold({ deadlineMs, ackedUpTo = 0, waitMs = 0 }, response) {
    if (deadlineMs !== undefined) this.#extend(deadlineMs);
    this.#ended = this.#ended.filter(([number]) => number > ackedUpTo);
    if (this.#ended.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        this.#waiters.push(() => (clearTimeout(timer), resolve()));
      });
    }
    this.#answer(response, {
      running: [...this.#runs.values()].map(({ task, run }) => [task, run, "", 50, 0]),
      ended: this.#ended,
    });
  }

  #extend(deadlineMs) {
    const until = Math.min(deadlineMs, this.#clock() + HOLD_MAX_MS);
    if (until <= this.#leaseUntil) return;
    this.#leaseUntil = until;
    clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(() => {
      for (const entry of [...this.#runs.values()]) this.#end(entry, "lapsed");
    }, until - this.#clock());
  }

  #end(entry, how) {
    clearTimeout(entry.timer);
    if (this.#runs.get(entry.task) !== entry) return;
    this.#runs.delete(entry.task);
    this.#closed.set(entry.task, Math.max(entry.run, this.#closed.get(entry.task) ?? 0));
    this.#ended.push([++this.#endCount, entry.task, entry.run, how, ""]);
    this.options.onEvent({ kind: "end", worker: this.id, task: entry.task, run: entry.run, how });
    this.#waiters.splice(0).forEach((wake) => wake());
  }

  #answer(response, fields = {}) {
    sendJson(response, 200, { clockMs: this.#clock(), born: this.#bornAt, ...fields });
  }

  #refuse(response, reason) {
    sendJson(response, 409, { clockMs: this.#clock(), born: this.#bornAt, reason });
  }
}
