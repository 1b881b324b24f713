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
 * Step of the simulated time; the heartbeat and read intervals are multiples of
 * it.
 */
const STEP_MS = 100;

/** One entry in each zone, all linked to each other. */
class Zones {
  readonly log = new MemoryLog();
  readonly names: string[];
  readonly followers: LogFollower[];
  /** Groups of zones that reach each other; the log is "log". */
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
          await follower.readOnce();
        }
      }
      if (this.#now % VIEW_LIMITS.heartbeatIntervalMs === 0) {
        this.#exchange();
      }
    }
  }

  /** Gets the zones whose process may start work. */
  getWorking(): string {
    return this.names.filter((_, n) => this.followers[n]!.canStartWork())
      .join("");
  }

  #exchange(): void {
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
  // Each case guards against work that stops without need, or goes on while a
  // change may pass it by.
  const cases: [string, string, string[], string][] = [
    ["goes on while nobody reaches the log", "abc", ["abc"], "abc"],
    ["goes on while nobody reaches the log", "abcd", ["abcd"], "abcd"],
    ["stops a zone that is cut off alone", "abc", ["ab+", "c"], "ab"],
    ["stops a zone that is cut off alone", "abcd", ["abc+", "d"], "abc"],
    ["goes on in a zone that lost only the log", "abc", ["ab+", "abc"], "abc"],
    ["stops the half without the log", "abcd", ["ab+", "cd"], "ab"],
    ["stops the smaller part in a log outage", "abcd", ["abc", "d"], "abc"],
    ["stops both halves in a log outage", "abcd", ["ab", "cd"], ""],
    // The stated exception: the majority can't tell that the log is up for the
    // others.
    ["goes on in a majority without the log", "abc", ["a+", "bc"], "abc"],
    ["goes on in a majority without the log", "abcd", ["a+", "bcd"], "abcd"],
  ];
  for (const [name, zones, groups, working] of cases) {
    it(`${name}: ${groups.join(" | ")} of ${zones}`, async () => {
      const world = new Zones([...zones]);
      await world.start();
      world.groups = groups.map((group) =>
        [...group].map((member) => member === "+" ? "log" : member)
      );
      await world.run(20_000);
      expect(world.getWorking()).to.equal(working);
    });
  }

  it("ends when the log is back, and the changes of that time are applied", async () => {
    const world = new Zones(["a", "b", "c"]);
    await world.start();
    world.groups = [["a", "b", "c"]];
    await world.run(20_000);
    world.log.isDown = false;
    await world.log.appendChange(7);
    world.groups = [["a", "b", "c", "log"]];
    await world.run(1_000);
    for (const { view } of world.followers) {
      expect(view.settings.rules?.priority).to.equal(7);
    }
    expect(world.getWorking()).to.equal("abc");
  });

  it("doesn't count a zone that is out of service", async () => {
    // Guards against a zone that was taken out and still decides whether the
    // others work.
    const world = new Zones(["a", "b", "c"]);
    await world.start();
    const edits = [{ path: "zones.c", value: { state: "out" } }];
    await world.log.append({
      ...{ type: "change", id: "out", baseRevision: 99, operator: "t", edits },
    });
    await world.run(1_000);
    world.groups = [["a", "b"], ["c"]];
    await world.run(20_000);
    expect(world.getWorking()).to.equal("ab");
  });

  it("never starts without having read the log", async () => {
    // Guards against an instance that starts in an outage and works under no
    // settings.
    const world = new Zones(["a", "b", "c"]);
    world.groups = [["a", "b", "c"]];
    await world.run(10_000);
    expect(world.getWorking()).to.equal("");
  });
});
