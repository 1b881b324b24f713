import { expect } from "chai";
import {
  Heartbeats,
  LogFollower,
  VIEW_LIMITS,
} from "../../../src/coordination/follower/mod.ts";
import type { LogService } from "../../../src/coordination/ports/mod.ts";
import { ClusterView } from "../../../src/state/view/mod.ts";
import { MemoryLog } from "./memory_log.ts";

/**
 * Step of the simulated time, in milliseconds. The heartbeat and read intervals
 * are multiples of it.
 */
const STEP_MS = 100;

/** Simulates one entry in each zone, with streams between all entries. */
class SimulatedZones {
  readonly log = new MemoryLog();
  readonly names: string[];
  readonly followers: LogFollower[];
  /** Groups of zones that can reach each other. The log is named "log". */
  groups: string[][];
  #now = 0;
  readonly #streams = new Map<string, Heartbeats>();

  constructor(names: string[]) {
    this.names = names;
    this.groups = [[...names, "log"]];
    this.followers = names.map((zone) => {
      const log: LogService = {
        append: (record) => this.log.append(record),
        read: (from, limit) => {
          this.log.isDown = !this.#canReach(zone, "log");
          return this.log.read(from, limit);
        },
      };
      const getTime = () => this.#now;
      return new LogFollower({ view: new ClusterView(), log, zone, getTime });
    });
  }

  async start(): Promise<void> {
    for (const zone of this.names) {
      await this.log.appendAnnouncement(`e-${zone}`, zone);
    }
    await this.run(2_000);
  }

  async run(ms: number): Promise<void> {
    for (const end = this.#now + ms; this.#now < end; this.#now += STEP_MS) {
      for (const follower of this.followers) {
        if (this.#now % VIEW_LIMITS.readIntervalMs === 0) {
          await follower.readToHead();
        }
      }
      if (this.#now % VIEW_LIMITS.heartbeatIntervalMs === 0) {
        this.#exchangeHeartbeats();
      }
    }
  }

  /** Gets the names of the zones whose entry may start work. */
  getWorkingZones(): string {
    return this.names.filter((_, n) => this.followers[n]!.canStartWork())
      .join("");
  }

  #exchangeHeartbeats(): void {
    for (const from of this.names) {
      for (const to of this.names) {
        if (from !== to && this.#canReach(from, to)) {
          this.#getStream(to, from).receive(
            this.#getStream(from, to).create(0, 0),
          );
        }
      }
    }
  }

  #canReach(first: string, second: string): boolean {
    return this.groups.some((group) =>
      group.includes(first) && group.includes(second)
    );
  }

  #getStream(own: string, peer: string): Heartbeats {
    const name = `${own}-${peer}`;
    const follower = this.followers[this.names.indexOf(own)]!;
    const stream = this.#streams.get(name) ?? new Heartbeats(follower);
    this.#streams.set(name, stream);
    return stream;
  }
}

describe("outage mode", () => {
  // Each case guards against work that stops without need, or continues while
  // a change of the operator may have been missed. A "+" in a group stands for
  // the log.
  const cases: [string, string, string[], string][] = [
    ["continues while no zone reaches the log", "abc", ["abc"], "abc"],
    ["continues while no zone reaches the log", "abcd", ["abcd"], "abcd"],
    ["stops a zone that is partitioned alone", "abc", ["ab+", "c"], "ab"],
    ["stops a zone that is partitioned alone", "abcd", ["abc+", "d"], "abc"],
    [
      "continues in a zone that lost only the log",
      "abc",
      ["ab+", "abc"],
      "abc",
    ],
    ["stops the half without the log", "abcd", ["ab+", "cd"], "ab"],
    ["stops the smaller part in a log outage", "abcd", ["abc", "d"], "abc"],
    ["stops both halves in a log outage", "abcd", ["ab", "cd"], ""],
    // The documented exception: the majority can't detect that the others still
    // reach the log.
    ["continues in a majority without the log", "abc", ["a+", "bc"], "abc"],
    ["continues in a majority without the log", "abcd", ["a+", "bcd"], "abcd"],
  ];
  for (const [name, zones, groups, expectedZones] of cases) {
    it(`${name}: ${groups.join(" | ")} of ${zones}`, async () => {
      const cluster = new SimulatedZones([...zones]);
      await cluster.start();
      cluster.groups = groups.map((group) =>
        [...group].map((member) => member === "+" ? "log" : member)
      );
      await cluster.run(20_000);
      expect(cluster.getWorkingZones()).to.equal(expectedZones);
    });
  }

  it("ends when the log is reachable again, and applies the changes made meanwhile", async () => {
    const cluster = new SimulatedZones(["a", "b", "c"]);
    await cluster.start();
    cluster.groups = [["a", "b", "c"]];
    await cluster.run(20_000);
    cluster.log.isDown = false;
    await cluster.log.appendChange(7);
    cluster.groups = [["a", "b", "c", "log"]];
    await cluster.run(1_000);
    for (const { view } of cluster.followers) {
      expect(view.settings.rules?.priority).to.equal(7);
    }
    expect(cluster.getWorkingZones()).to.equal("abc");
  });

  it("doesn't count a zone that is out of service", async () => {
    // Guards against a zone that was taken out of service and still affects
    // whether the others may start work.
    const cluster = new SimulatedZones(["a", "b", "c"]);
    await cluster.start();
    const edits = [{ path: "zones.c", value: { state: "out" } }];
    await cluster.log.append({
      ...{ type: "change", id: "out", baseRevision: 99, operator: "t", edits },
    });
    await cluster.run(1_000);
    cluster.groups = [["a", "b"], ["c"]];
    await cluster.run(20_000);
    expect(cluster.getWorkingZones()).to.equal("ab");
  });

  it("starts no work before the log was read", async () => {
    // Guards against an instance that starts during an outage and works without
    // settings.
    const cluster = new SimulatedZones(["a", "b", "c"]);
    cluster.groups = [["a", "b", "c"]];
    await cluster.run(10_000);
    expect(cluster.getWorkingZones()).to.equal("");
  });
});
