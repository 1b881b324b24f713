/**
 * A stand-in for a worker: it runs tasks under a lease on its own clock, guards its
 * capacity, keeps the highest fence, lists ends until they are confirmed, and reports to
 * the agent on its machine.
 */
import http from "node:http";
import { setTimeout as wait } from "node:timers/promises";

const MAX_LEASE_MS = 1_000;
/** The platform allows 50 ms. */
const STOP_MS = 20;
const REPORT_INTERVAL_MS = 1_500;
/** Time until a report is sent again that was not confirmed. */
const REPORT_RETRY_MS = 300;
const MAX_WAIT_MS = 2_000;

export class Worker {
  #options;
  #server = http.createServer((request, response) => this.#accept(request, response));
  #address = "";
  #life = 0;
  #isUp = false;
  #isStopped = false;
  #state = "ready";
  #sequence = 0;
  #fence = 0;
  #leaseUntilMs = 0;
  #leaseTimer;
  #runs = new Map();
  #ended = [];
  #endCount = 0;
  #closedRuns = new Map();
  #waiters = new Set();
  #bornAtMs = 0;
  #clockStartedAt = 0;
  #kind;

  /**
   * @param options.name, service, zone, rack, capacity - What it reports of itself.
   * @param options.reportAddress - Address of the agent for reports.
   * @param options.findTask - Gets `{ cpu, memMb, runMs }` of a task.
   * @param options.onEvent - Called with each start, end and confirmation.
   */
  constructor(options) {
    this.#options = options;
    this.#kind = options.kind ?? "a";
  }

  get name() {
    return this.#options.name;
  }

  get id() {
    return `i-${this.#options.name}-${this.#life}`;
  }

  get runCount() {
    return this.#runs.size;
  }

  /** Starts to listen, and returns the address for orders. */
  async listen() {
    this.#server.keepAliveTimeout = 75_000;
    await new Promise((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    this.#address = `127.0.0.1:${this.#server.address().port}`;
    return this.#address;
  }

  /** Ends the lifetime at once. Nothing listens at the address until the next one. */
  crash() {
    this.#isUp = false;
    clearTimeout(this.#leaseTimer);
    [...this.#runs.values()].forEach((run) => this.#endRun(run, "crashed"));
    this.#server.close();
    this.#server.closeAllConnections();
    this.#emit("crashed", {});
  }

  /** Starts the next lifetime at the same address, of another kind if one is given. */
  async restart(kind = this.#kind) {
    const [host, port] = this.#address.split(":");
    await new Promise((resolve) => this.#server.listen(Number(port), host, resolve));
    this.#kind = kind;
    this.#sequence = 0;
    this.#fence = 0;
    this.#leaseUntilMs = 0;
    this.#ended = [];
    this.#endCount = 0;
    this.#closedRuns = new Map();
    this.#state = "ready";
    this.start();
  }

  /** Starts a lifetime, and reports until it ends. */
  start() {
    this.#life++;
    this.#isUp = true;
    this.#bornAtMs = Date.now();
    this.#clockStartedAt = performance.now();
    this.#emit("life_started", { how: `kind ${this.#kind}` });
    void this.#sendReports();
  }

  /** Announces with the next report that it leaves. */
  drain() {
    this.#state = "draining";
  }

  stop() {
    this.#isStopped = true;
    this.#isUp = false;
    clearTimeout(this.#leaseTimer);
    this.#runs.forEach(({ timer }) => clearTimeout(timer));
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #getClockMs() {
    return Math.floor(performance.now() - this.#clockStartedAt);
  }

  get kind() {
    return this.#kind;
  }

  async #sendReports() {
    const life = this.#life;
    while (!this.#isStopped && this.#isUp && life === this.#life) {
      const { service, zone, capacity, rack, reportAddress } = this.#options;
      this.#sequence++;
      const status = await sendReport(reportAddress, this.id, {
        service,
        addr: this.#address,
        zone,
        version: "v1",
        slots: 8,
        state: this.#state,
        coldLeftMs: 0,
        capacity,
        labels: [this.#kind, rack],
        clockMs: this.#getClockMs(),
        seq: this.#sequence,
        born: this.#bornAtMs,
        ...(this.#state === "draining" ? { remainingMs: 5_000 } : {}),
      });
      if (status === 200 && this.#state === "draining") {
        this.#emit("drain_confirmed", {});
      }
      await wait(status === 200 ? REPORT_INTERVAL_MS : REPORT_RETRY_MS);
    }
  }

  #accept(request, response) {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("error", () => {});
    request.on("end", () => {
      if (!this.#isUp) {
        return;
      }
      if (request.headers["x-cranberrybank-expect-instance"] !== this.id) {
        this.#send(response, 421, {});
        return;
      }
      const order = JSON.parse(Buffer.concat(chunks).toString());
      if ((order.fence ?? 0) < this.#fence) {
        this.#send(response, 409, { reason: "fence" });
        return;
      }
      this.#fence = order.fence ?? 0;
      switch (request.url) {
        case "/cranberrybank/run-start":
          this.#startRun(order, response);
          return;
        case "/cranberrybank/run-stop":
          this.#stopRun(order, response);
          return;
        case "/cranberrybank/hold":
          this.#hold(order, response);
          return;
        default:
          this.#send(response, 404, {});
      }
    });
  }

  #startRun({ task, run, spec, deadlineMs }, response) {
    if (deadlineMs <= this.#getClockMs()) {
      this.#send(response, 409, { reason: "late" });
      return;
    }
    this.#extendLease(deadlineMs);
    const active = this.#runs.get(task);
    if (active?.run === run) {
      this.#send(response, 200, {});
      return;
    }
    if (active !== undefined || run <= (this.#closedRuns.get(task) ?? 0)) {
      this.#send(response, 409, { reason: "old" });
      return;
    }
    const { cpu, memMb, runMs } = this.#options.findTask(task) ?? { cpu: 0, memMb: 0, runMs: 100 };
    let usedCpu = cpu;
    let usedMemory = memMb;
    this.#runs.forEach((other) => {
      usedCpu += other.cpu;
      usedMemory += other.memMb;
    });
    const { capacity } = this.#options;
    if (usedCpu > capacity.cpu || usedMemory > capacity.memMb) {
      this.#send(response, 409, { reason: "room" });
      return;
    }
    const started = { task, run, cpu, memMb };
    started.timer = setTimeout(() => this.#endRun(started, "done"), runMs);
    this.#runs.set(task, started);
    this.#emit("started", { task, run, spec, kindOfWorker: this.#kind });
    this.#send(response, 200, {});
  }

  #stopRun({ task, run }, response) {
    this.#closedRuns.set(task, Math.max(run, this.#closedRuns.get(task) ?? 0));
    const active = this.#runs.get(task);
    if (active !== undefined && active.run <= run) {
      clearTimeout(active.timer);
      active.timer = setTimeout(() => this.#endRun(active, "stopped"), STOP_MS);
    }
    this.#send(response, 200, {});
  }

  #hold({ ackedUpTo = 0, deadlineMs, waitMs = 0 }, response) {
    const confirmed = this.#ended.filter(([number]) => number <= ackedUpTo);
    this.#ended = this.#ended.filter(([number]) => number > ackedUpTo);
    confirmed.forEach(([, task, run, how]) => this.#emit("end_noted", { task, run, how }));
    if (deadlineMs !== undefined) {
      this.#extendLease(deadlineMs);
    }
    let isSent = false;
    const send = () => {
      if (isSent || !this.#isUp) {
        return;
      }
      isSent = true;
      clearTimeout(timer);
      this.#waiters.delete(send);
      this.#send(response, 200, {
        running: [...this.#runs.values()].map(({ task, run, cpu }) => [task, run, "", 0, cpu]),
        ended: this.#ended.slice(0, 500),
      });
    };
    const timer = setTimeout(send, Math.min(waitMs, MAX_WAIT_MS));
    if (this.#ended.length > 0) {
      send();
    } else {
      this.#waiters.add(send);
    }
  }

  #extendLease(deadlineMs) {
    const now = this.#getClockMs();
    const leaseUntilMs = Math.min(deadlineMs, now + MAX_LEASE_MS);
    if (leaseUntilMs > this.#leaseUntilMs) {
      this.#leaseUntilMs = leaseUntilMs;
      clearTimeout(this.#leaseTimer);
      this.#leaseTimer = setTimeout(
        () => [...this.#runs.values()].forEach((run) => this.#endRun(run, "lapsed")),
        leaseUntilMs - now,
      );
    }
  }

  #endRun(run, how) {
    clearTimeout(run.timer);
    if (this.#runs.get(run.task) !== run) {
      return;
    }
    this.#runs.delete(run.task);
    this.#closedRuns.set(run.task, Math.max(run.run, this.#closedRuns.get(run.task) ?? 0));
    this.#ended.push([++this.#endCount, run.task, run.run, how, ""]);
    this.#emit("ended", { task: run.task, run: run.run, how });
    [...this.#waiters].forEach((wake) => wake());
  }

  #send(response, status, body) {
    const text = JSON.stringify({ clockMs: this.#getClockMs(), born: this.#bornAtMs, ...body });
    response.writeHead(status, { "content-type": "application/json" });
    response.end(text);
  }

  #emit(kind, fields) {
    this.#options.onEvent({ kind, at: performance.now(), worker: this.#options.name, ...fields });
  }
}

/** Returns the status of the answer; 0 if there is none within a second. */
function sendReport(address, id, report) {
  return new Promise((resolve) => {
    const body = JSON.stringify(report);
    const request = http.request(`http://${address}/cranberrybank/instances/${id}`, {
      method: "PUT",
      headers: { "content-type": "application/json", "content-length": Buffer.byteLength(body) },
      timeout: 1_000,
    }, (response) => {
      response.resume();
      response.on("end", () => resolve(response.statusCode));
      response.on("error", () => resolve(0));
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => resolve(0));
    request.end(body);
  });
}
