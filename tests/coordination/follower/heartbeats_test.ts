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

/** A log read that waits until the test serves and then returns it. */
interface OpenRead {
  from: number;
  limit: number;
  page?: LogPage;
  resolve: (page: LogPage) => void;
}

/**
 * Processes with clocks of their own, whose messages and log reads take as long
 * as the test wants.
 */
class World {
  /** The time that no process knows. */
  time = 0;
  readonly log = new MemoryLog();
  readonly appendedAt: number[] = [];
  readonly followers: LogFollower[] = [];
  readonly #reads: OpenRead[][] = [];
  readonly #streams = new Map<string, Heartbeats>();
  readonly #sent: { from: number; to: number; heartbeat: Heartbeat }[] = [];

  constructor() {
    for (let n = 0; n < PROCESSES; n++) {
      const reads: OpenRead[] = [];
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

  async run(action: { name: string; a: number; b: number }): Promise<void> {
    const { name, a, b } = action;
    const to = (a + 1 + b % (PROCESSES - 1)) % PROCESSES;
    switch (name) {
      case "wait":
        this.time += 1 + b * 37;
        break;
      case "append":
        this.appendedAt.push(this.time);
        await this.log.appendChange(b % 9);
        break;
      case "read":
        void this.followers[a]!.readOnce();
        break;
      case "serve":
        this.#serve(a, b);
        break;
      case "return":
        this.#return(a, b);
        break;
      case "send": {
        const heartbeat = this.#getStream(a, to).create(0, 0);
        this.#sent.push({ from: a, to, heartbeat });
        break;
      }
      default:
        this.#deliver(b);
    }
    // Lets the reads that returned be applied.
    await new Promise((resolve) => setImmediate(resolve));
  }

  /**
   * A process may believe its view fresh up to a time only when it holds every
   * record before it.
   */
  check(): void {
    for (const [n, follower] of this.followers.entries()) {
      const provenAt = this.time - follower.getViewAgeMs();
      const due = this.appendedAt.filter((time) => time < provenAt).length;
      expect(follower.view.offset, `process ${n}`).to.be.at.least(due);
    }
  }

  #serve(process: number, choice: number): void {
    const waiting = this.#reads[process]!.filter((read) => !read.page);
    const read = waiting[choice % Math.max(1, waiting.length)];
    if (read !== undefined) {
      read.page = this.log.getPage(read.from, read.limit);
    }
  }

  #return(process: number, choice: number): void {
    const reads = this.#reads[process]!;
    const served = reads.filter((read) => read.page);
    const read = served[choice % Math.max(1, served.length)];
    if (read?.page !== undefined) {
      reads.splice(reads.indexOf(read), 1);
      read.resolve(read.page);
    }
  }

  /** Delivers any of the sent heartbeats, out of order. */
  #deliver(choice: number): void {
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
  it("never make a view look fresher than it is, whatever their order and delay", async () => {
    // Guards against a task that starts under settings or a membership that
    // changed more than 5 s ago.
    const names = ["wait", "append", "read", "serve", "return", "send"];
    const action = fc.record({
      name: fc.constantFrom(...names, "send", "deliver", "deliver", "wait"),
      a: fc.nat(PROCESSES - 1),
      b: fc.nat(30),
    });
    const actions = fc.array(action, { minLength: 40, maxLength: 200 });
    let proofs = 0;
    await fc.assert(
      fc.asyncProperty(actions, async (list) => {
        const world = new World();
        for (const one of list) {
          await world.run(one);
          world.check();
        }
        proofs += world.followers.filter((follower) =>
          follower.getViewAgeMs() < Infinity
        ).length;
      }),
      { seed: 7, numRuns: 150 },
    );
    // A run in which no process ever holds a proof would check nothing.
    expect(proofs).to.be.greaterThan(150);
  });

  it("date a relayed proof by the echo, not by the arrival", async () => {
    // Guards against a heartbeat that was delayed for minutes and passes for
    // fresh.
    const world = new World();
    const [fresh, stale] = [0, 1];
    const run = (name: string, a: number, b = 0) => world.run({ name, a, b });
    await run("read", fresh);
    await run("serve", fresh);
    await run("return", fresh);
    await run("send", stale, 1);
    await run("deliver", 0);
    world.time += 100;
    await run("send", fresh);
    world.time += 60_000;
    await run("deliver", 0);
    // 60,000 ms on the way, 100 ms since the echo was sent, and 100 ms that the
    // sender stated.
    expect(world.followers[stale]!.getViewAgeMs()).to.equal(60_200);
  });

  it("prove nothing to a peer that doesn't hold the relayed records yet", async () => {
    // Guards against a proof that is counted when one heartbeat can't carry all
    // missing records.
    const world = new World();
    const run = (name: string, a: number, b = 0) => world.run({ name, a, b });
    for (let n = 0; n < 300; n++) {
      await run("append", 0);
    }
    await run("read", 0);
    await run("serve", 0);
    await run("return", 0);
    const [fresh, behind] = world.followers;
    const ages: number[] = [];
    for (let n = 0; n < 3; n++) {
      await run("send", 1, 1);
      await run("deliver", 0);
      await run("send", 0);
      await run("deliver", 0);
      ages.push(behind!.getViewAgeMs());
    }
    expect(fresh!.view.offset).to.equal(300);
    expect(ages).to.deep.equal([Infinity, 0, 0]);
  });
});
