import { err, ok, type Result } from "neverthrow";
import {
  ClaimService,
  DepartureHistory,
  GatherHandler,
} from "../../../src/coordination/claims/mod.ts";
import { LogFollower } from "../../../src/coordination/follower/mod.ts";
import type { PeerClient } from "../../../src/coordination/ports/mod.ts";
import type {
  GatherReply,
  GatherRequest,
  StoredAnswer,
} from "../../../src/coordination/messages/mod.ts";
import { ClaimTable } from "../../../src/state/claims/mod.ts";
import {
  createError,
  type DispatchError,
} from "../../../src/state/errors/mod.ts";
import { HomeFinder } from "../../../src/state/homes/mod.ts";
import { ClusterView, type LogRecord } from "../../../src/state/view/mod.ts";

interface FakeMember {
  readonly follower: LogFollower;
  readonly homes: HomeFinder;
  readonly handleGather: (request: GatherRequest) => GatherReply;
}

export const ANSWER: StoredAnswer = {
  status: 200,
  contentType: "text/plain",
  body: new Uint8Array(10),
  headers: {},
};

/**
 * Claim services of agents and claim tables of entries that follow one list of
 * log records, with one fake clock.
 */
export class FakeCluster implements Pick<PeerClient, "gather"> {
  now = 1_000_000;
  /** Gather calls as "home>member". */
  readonly gatherCalls: string[] = [];
  readonly unreachable = new Set<string>();
  readonly services = new Map<string, ClaimService>();
  readonly tables = new Map<string, ClaimTable<StoredAnswer>>();
  readonly startedKeys = new Map<string, Map<string, string>>();
  readonly #members = new Map<string, FakeMember>();
  readonly #records: { offset: number; json: string }[] = [];
  readonly #view = new ClusterView();
  readonly #homes = new HomeFinder(this.#view);

  /** Adds entries e1 and up, and agents a1 and up in one availability zone. */
  constructor(options: { entries: number; agents: number }) {
    for (let n = 1; n <= options.entries; n++) {
      this.addEntry(`e${n}`);
    }
    for (let n = 1; n <= options.agents; n++) {
      this.addAgent(`a${n}`);
    }
  }

  addEntry(id: string): void {
    const { follower, homes } = this.#createFollower();
    const table = new ClaimTable<StoredAnswer>({ getTime: () => this.now });
    this.tables.set(id, table);
    const handler = new GatherHandler({ memberId: id, follower, homes, table });
    const handleGather = (request: GatherRequest) => handler.handle(request);
    this.#members.set(id, { follower, homes, handleGather });
    this.#announce(id, "entry");
  }

  addAgent(id: string, options: { processId?: string } = {}): void {
    const { follower, homes, departureHistory } = this.#createFollower();
    const startedKeys = new Map<string, string>();
    const service = new ClaimService({
      memberId: id,
      zone: "z",
      follower,
      homes,
      departureHistory,
      peers: this,
      getStartedKeys: () => startedKeys,
      table: new ClaimTable({ getTime: () => this.now }),
    });
    this.services.set(id, service);
    this.startedKeys.set(id, startedKeys);
    const handleGather = (request: GatherRequest) =>
      service.handleGather(request);
    this.#members.set(id, { follower, homes, handleGather });
    this.#announce(id, "agent", options.processId ?? id);
  }

  /**
   * Appends a log record. Members listed in `late` receive it together with the
   * next record for which they aren't listed.
   */
  append(record: LogRecord, options: { late?: string[] } = {}): void {
    const offset = this.#records.length + 1;
    this.#records.push({ offset, json: JSON.stringify(record) });
    this.#view.apply(record, offset);
    for (const [id, { follower }] of this.#members) {
      if (!options.late?.includes(id) && !this.unreachable.has(id)) {
        follower.applyRecords(this.#records);
      }
    }
  }

  /** Applies all records at a member. */
  catchUp(id: string): void {
    this.#members.get(id)?.follower.applyRecords(this.#records);
  }

  /** Removes members at the same time, by suspicions of all observers. */
  remove(ids: string[], options: { late?: string[] } = {}): void {
    ids.forEach((id) => this.unreachable.add(id));
    const role = this.#view.getMember(ids[0] as string)?.role;
    const observers = this.#view.getMembers(
      role === "agent" ? "entry" : "agent",
    );
    for (const { id } of observers) {
      if (ids.some((other) => this.#view.getMember(other) !== undefined)) {
        this.append({
          type: "suspect",
          observerId: id,
          memberIds: ids,
          timeMs: 0,
        }, options);
      }
    }
  }

  findHome(key: string): string {
    return this.#homes.find(key)?.id ?? "";
  }

  /**
   * Adds agents, one after the other, until the home of a key changes. Returns
   * the new home.
   */
  async addAgentsUntilHomeMoves(key: string): Promise<string> {
    const before = this.findHome(key);
    while (this.findHome(key) === before) {
      this.addAgent(`j${this.services.size}`);
      await sleep(5);
    }
    return this.findHome(key);
  }

  /**
   * Claims a key at its home. Returns a list to which the outcome of each reply
   * is added.
   */
  claim(
    key: string,
    entryId: string,
    options: { home?: string } = {},
  ): string[] {
    const outcomes: string[] = [];
    const { home = this.findHome(key) } = options;
    this.services.get(home)?.handleClaim({
      claim: { claimId: 1, key, fingerprint: "f", viewOffset: 0, clock: 0 },
      coordinatorId: entryId,
      isStreamOpen: () => true,
      reply: ({ outcome }) => {
        outcomes.push(outcome);
        if (outcome === "granted") {
          this.tables.get(entryId)?.claim(key, "f", { coordinator: entryId });
        }
      },
    });
    return outcomes;
  }

  gather(
    address: string,
    request: GatherRequest,
  ): Promise<Result<GatherReply, DispatchError>> {
    const member = this.#members.get(address);
    if (member === undefined || this.unreachable.has(address)) {
      return Promise.resolve(err(createError("internal", "unreachable")));
    }
    this.gatherCalls.push(`${request.home}>${address}`);
    return Promise.resolve(ok(member.handleGather(request)));
  }

  /** Stops the takeovers, which would otherwise continue to poll. */
  stop(): void {
    this.services.forEach((service) => service.stop());
  }

  #createFollower() {
    const view = new ClusterView();
    const log = {} as ConstructorParameters<typeof LogFollower>[0]["log"];
    const getTime = () => this.now;
    const follower = new LogFollower({ view, log, zone: "z", getTime });
    const departureHistory = new DepartureHistory({ follower });
    follower.advanceFreshness(Infinity);
    follower.applyRecords(this.#records);
    return { follower, departureHistory, homes: new HomeFinder(view) };
  }

  #announce(id: string, role: "entry" | "agent", processId = id): void {
    this.append({
      type: "announce",
      member: {
        ...{ id, name: id, role, processId, zone: "z" },
        ...{ services: [], slots: 8 },
        ...{ peerAddress: id, httpAddress: id },
      },
    });
  }
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
