import { expect } from "chai";
import * as fc from "fast-check";
import { ok } from "neverthrow";
import {
  Heartbeats,
  LogFollower,
} from "../../../src/coordination/follower/mod.ts";
import type {
  LogPage,
  LogService,
} from "../../../src/coordination/ports/mod.ts";
import type { Heartbeat } from "../../../src/coordination/messages/mod.ts";
import { ClusterView } from "../../../src/state/view/mod.ts";
import { MemoryLog } from "./memory_log.ts";

const PROCESSES = 3;

/**
 * A pending log read. The test first fills in its page and later completes it.
 */
interface PendingRead {
  from: number;
  limit: number;
  page?: LogPage;
  resolve: (page: LogPage) => void;
}

/**
 * Simulates processes with independent clocks, whose messages and log reads are
 * delayed and reordered under the control of the test.
 */
class SimulatedCluster {
  /** Simulated global time in milliseconds, which no process can read. */
  time = 0;
  readonly log = new MemoryLog();
  readonly appendedAt: number[] = [];
  readonly followers: LogFollower[] = [];
  readonly #reads: PendingRead[][] = [];
  readonly #streams = new Map<string, Heartbeats>();
  readonly #sent: { from: number; to: number; heartbeat: Heartbeat }[] = [];

  constructor() {
    for (let n = 0; n < PROCESSES; n++) {
      const reads: PendingRead[] = [];
      const log: LogService = {
        append: (record) => this.log.append(record),
        read: (from, limit) =>
          new Promise((resolve) =>
            reads.push({ from, limit, resolve: (page) => resolve(ok(page)) })
          ),
      };
      this.#reads.push(reads);
      const getTime = () => this.time + this.getClockOffset(n);
      const view = new ClusterView();
      this.followers.push(new LogFollower({ view, log, zone: "a", getTime }));
    }
  }

  getClockOffset(process: number): number {
    return process * 1e7;
  }

  async run(action: {
    name: string;
    process: number;
    choice: number;
  }): Promise<void> {
    const { name, process, choice } = action;
    const to = (process + 1 + choice % (PROCESSES - 1)) % PROCESSES;
    switch (name) {
      case "wait":
        this.time += 1 + choice * 37;
        break;
      case "append":
        this.appendedAt.push(this.time);
        await this.log.appendChange(choice % 9);
        break;
      case "read":
        void this.followers[process]!.readToHead();
        break;
      case "serve":
        this.#servePage(process, choice);
        break;
      case "return":
        this.#completeRead(process, choice);
        break;
      case "send": {
        const heartbeat = this.#getStream(process, to).create(0, 0);
        this.#sent.push({ from: process, to, heartbeat });
        break;
      }
      default:
        this.#deliverHeartbeat(choice);
    }
    // Lets the processes apply the completed reads.
    await new Promise((resolve) => setImmediate(resolve));
  }

  /**
   * Checks that the view of each process contains every record appended before
   * the time for which the process considers its view complete.
   */
  check(): void {
    for (const [n, follower] of this.followers.entries()) {
      const freshAsOf = this.time - follower.getViewAgeMs();
      const expectedOffset = this.appendedAt.filter((time) =>
        time < freshAsOf
      ).length;
      expect(follower.view.offset, `process ${n}`).to.be.at.least(
        expectedOffset,
      );
    }
  }

  #servePage(process: number, choice: number): void {
    const waiting = this.#reads[process]!.filter((read) => !read.page);
    const read = waiting[choice % Math.max(1, waiting.length)];
    if (read !== undefined) {
      read.page = this.log.getPage(read.from, read.limit);
    }
  }

  #completeRead(process: number, choice: number): void {
    const reads = this.#reads[process]!;
    const served = reads.filter((read) => read.page);
    const read = served[choice % Math.max(1, served.length)];
    if (read?.page !== undefined) {
      reads.splice(reads.indexOf(read), 1);
      read.resolve(read.page);
    }
  }

  /** Delivers one of the sent heartbeats, in any order. */
  #deliverHeartbeat(choice: number): void {
    const [message] = this.#sent.splice(
      choice % Math.max(1, this.#sent.length),
      1,
    );
    if (message !== undefined) {
      const { from, to, heartbeat } = message;
      this.#getStream(to, from).receive(heartbeat);
    }
  }

  #getStream(own: number, peer: number): Heartbeats {
    const name = `${own}-${peer}`;
    const stream = this.#streams.get(name) ??
      new Heartbeats(this.followers[own]!);
    this.#streams.set(name, stream);
    return stream;
  }
}

describe("Heartbeats", () => {
  it("never understate the age of a view, whatever their order and delay", async () => {
    // Guards against a task that starts under settings or a membership that
    // changed more than 5 s ago.
    const names = ["wait", "append", "read", "serve", "return", "send"];
    const action = fc.record({
      name: fc.constantFrom(...names, "send", "deliver", "deliver", "wait"),
      process: fc.nat(PROCESSES - 1),
      choice: fc.nat(30),
    });
    const actions = fc.array(action, { minLength: 40, maxLength: 200 });
    let freshViewCount = 0;
    await fc.assert(
      fc.asyncProperty(actions, async (steps) => {
        const cluster = new SimulatedCluster();
        for (const step of steps) {
          await cluster.run(step);
          cluster.check();
        }
        freshViewCount += cluster.followers.filter((follower) =>
          follower.getViewAgeMs() < Infinity
        ).length;
      }),
      { seed: 7, numRuns: 150 },
    );
    // The test would check nothing if no process ever had a known view age.
    expect(freshViewCount).to.be.greaterThan(150);
  });

  it("compute the view age from the echo, not from the arrival time", async () => {
    // Guards against a view that counts as recent because of a heartbeat that
    // was delayed for minutes.
    const cluster = new SimulatedCluster();
    const [current, lagging] = [0, 1];
    const run = (name: string, process: number, choice = 0) =>
      cluster.run({ name, process, choice });
    await run("read", current);
    await run("serve", current);
    await run("return", current);
    await run("send", lagging, 1);
    await run("deliver", 0);
    cluster.time += 100;
    await run("send", current);
    cluster.time += 60_000;
    await run("deliver", 0);
    // 60,000 ms in transit, 100 ms since the echoed heartbeat was sent, and the
    // 100 ms of view age that the sender reported.
    expect(cluster.followers[lagging]!.getViewAgeMs()).to.equal(60_200);
  });

  it("don't reduce the view age of a peer that lacks some of the relayed records", async () => {
    // Guards against a view that counts as recent although one heartbeat
    // couldn't carry all missing records.
    const cluster = new SimulatedCluster();
    const run = (name: string, process: number, choice = 0) =>
      cluster.run({ name, process, choice });
    for (let n = 0; n < 300; n++) {
      await run("append", 0);
    }
    await run("read", 0);
    await run("serve", 0);
    await run("return", 0);
    const [current, behind] = cluster.followers;
    const ages: number[] = [];
    for (let n = 0; n < 3; n++) {
      await run("send", 1, 1);
      await run("deliver", 0);
      await run("send", 0);
      await run("deliver", 0);
      ages.push(behind!.getViewAgeMs());
    }
    expect(current!.view.offset).to.equal(300);
    expect(ages).to.deep.equal([Infinity, 0, 0]);
  });
});
