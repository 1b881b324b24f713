import * as fc from "fast-check";
import { Cluster, type ClusterProcess } from "../../scripts/lib/cluster.ts";
import type { RelayMode } from "../../scripts/lib/relay.ts";
import { Caller, printCompletedShare, sleep } from "../lib/caller.ts";
import { FuzzCommand, type FuzzModel } from "../lib/fuzz_command.ts";

const SEED = Number(process.env["CRANBERRYBANK_FUZZ_SEED"] ?? 20_261);
const RUN_COUNT = Number(process.env["CRANBERRYBANK_FUZZ_RUNS"] ?? 5);

/** Time limit of one run and the repair after it, in milliseconds. */
const RUN_TIMEOUT_MS = 60_000;

const LINK_MODES: RelayMode[] = [
  { type: "refuse" },
  { type: "hold" },
  { type: "delay", delayMs: 40 },
  { type: "pass" },
];
const LOG_FAULTS = [
  { isDown: true },
  { isHanging: true },
  { delayMs: 300 },
  { delayMs: 2_000 },
  { lostReplies: 3 },
  {},
];
const BEHAVIORS = [
  { mode: "normal" },
  { mode: "failing" },
  { mode: "resetting" },
  { mode: "hanging" },
];

describe("random faults and submissions", function () {
  this.timeout(RUN_COUNT * RUN_TIMEOUT_MS);
  const cluster = new Cluster({
    entryZones: ["a", "b"],
    agentZones: ["a", "a", "b", "b", "c"],
    persistsTaskStarts: true,
    hasRelays: true,
  });
  const caller = new Caller();
  const pending: Promise<unknown>[] = [];
  let runs = 0;

  before(() => cluster.start());
  after(() => cluster.stop());

  const getAll = () => [
    ...cluster.entries,
    ...cluster.agents,
    ...cluster.upstreams,
  ];
  const getProcess = (processes: ClusterProcess[], n: number) =>
    processes[n % processes.length] as ClusterProcess;
  /** Includes the program, since upstreams have the names of their agents. */
  const getId = (process: ClusterProcess) => process.command[0] + process.name;

  function submit(key: string, options: {
    entry: number;
    repeatable: boolean;
    tasks: number;
    runMs: number;
  }): void {
    const entry = getProcess(cluster.entries, options.entry);
    const giveUpAfterMs = 8_000;
    const limits = { timeoutMs: 1_000, deadlineMs: 3_000, giveUpAfterMs };
    pending.push(caller.submit({ ...options, ...limits, key, entry }));
  }

  /**
   * Gets the job that belongs to a key: a resubmission has to be identical to
   * the first submission.
   */
  function getJob(key: string) {
    const n = Number(key.split("-").at(-1));
    return {
      repeatable: n % 3 === 0,
      tasks: 1 + n % 5,
      runMs: 10 + n * 7 % 80,
    };
  }

  const naturals = fc.nat(100);
  const submitCommands = naturals.map((n) =>
    new FuzzCommand({
      name: `submit(${n})`,
      run: async (model) => {
        for (let count = 0; count < 8; count++) {
          const key = `run${runs}-${model.keys.length}`;
          model.keys.push(key);
          submit(key, { ...getJob(key), entry: n + count });
          await sleep(15);
        }
      },
    })
  );
  const commands = fc.commands([
    // Chosen more often than each fault, so that faults occur during work.
    ...[submitCommands, submitCommands, submitCommands, submitCommands],
    fc.tuple(naturals, naturals).map(([n, entry]) =>
      new FuzzCommand({
        name: `resubmit(${n}, ${entry})`,
        canRun: ({ keys }) => keys.length > 0,
        run: ({ keys }) => {
          const key = keys[n % keys.length] as string;
          submit(key, { ...getJob(key), entry });
        },
      })
    ),
    fc.tuple(naturals, naturals).map(([n, entry]) =>
      new FuzzCommand({
        name: `cancel(${n}, ${entry})`,
        canRun: ({ keys }) => keys.length > 0,
        run: ({ keys }) => {
          const key = keys[keys.length - 1 - n % Math.min(8, keys.length)];
          pending.push(
            caller.cancel(getProcess(cluster.entries, entry), key ?? ""),
          );
        },
      })
    ),
    naturals.map((n) =>
      new FuzzCommand({
        name: `kill(${getName(n)})`,
        canRun: ({ killedIds }) => killedIds.size < 2,
        run: async (model) => {
          const process = getProcess(getAll(), n);
          if (!model.killedIds.has(getId(process))) {
            model.killedIds.add(getId(process));
            await cluster.kill(process);
          }
        },
      })
    ),
    fc.constant(
      new FuzzCommand({ name: "restart()", run: (model) => restart(model) }),
    ),
    naturals.map((n) =>
      new FuzzCommand({
        name: `pause(${getName(n)})`,
        run: () => {
          const process = getProcess(getAll(), n);
          cluster.pause(process);
        },
      })
    ),
    naturals.map((n) =>
      new FuzzCommand({
        name: `resume(${getName(n)})`,
        run: () => cluster.resume(getProcess(getAll(), n)),
      })
    ),
    fc.tuple(naturals, fc.constantFrom(...LINK_MODES), fc.boolean()).map((
      [n, mode, isLog],
    ) =>
      new FuzzCommand({
        name: `link(${n % 7}, ${mode.type}, ${isLog ? "log" : "peers"})`,
        run: () => {
          const process = getProcess(
            [...cluster.entries, ...cluster.agents],
            n,
          );
          (isLog ? process.logRelay : process.peerRelay)?.setMode(mode);
        },
      })
    ),
    fc.constantFrom(...LOG_FAULTS).map((faults) =>
      new FuzzCommand({
        name: `log(${JSON.stringify(faults)})`,
        run: () => cluster.setLogFaults(faults),
      })
    ),
    fc.tuple(fc.constantFrom("a", "b", "c"), fc.constantFrom("in", "out")).map((
      [zone, state],
    ) =>
      new FuzzCommand({
        name: `zone(${zone}, ${state})`,
        run: () => {
          // The change fails while the log is down.
          const edits = [{ path: `zones.${zone}.state`, value: state }];
          pending.push(cluster.publish(edits).catch(() => {}));
        },
      })
    ),
    fc.tuple(naturals, fc.constantFrom(...BEHAVIORS)).map(([n, behavior]) =>
      new FuzzCommand({
        name: `upstream(${n % 5}, ${behavior.mode})`,
        run: () => {
          const upstream = getProcess(cluster.upstreams, n);
          pending.push(
            cluster.setUpstreamBehavior(upstream, behavior).catch(() => {}),
          );
        },
      })
    ),
    fc.integer({ min: 50, max: 1_000 }).map((ms) =>
      new FuzzCommand({ name: `wait(${ms})`, run: () => sleep(ms) })
    ),
  ], { maxCommands: 40, size: "max" });

  function getName(n: number): string {
    const roles = [
      ...["entry-1", "entry-2", "agent-1", "agent-2", "agent-3", "agent-4"],
      ...["agent-5", "upstream-1", "upstream-2", "upstream-3", "upstream-4"],
      "upstream-5",
    ];
    return roles[n % roles.length] as string;
  }

  function restart(model: FuzzModel): void {
    for (const process of getAll()) {
      if (model.killedIds.delete(getId(process))) {
        cluster.restart(process);
      }
    }
  }

  /**
   * Ends all faults, and waits until all submissions have ended and the cluster
   * is ready.
   */
  async function repair(model: FuzzModel): Promise<void> {
    await cluster.setLogFaults({});
    for (const process of getAll()) {
      cluster.resume(process);
      process.peerRelay?.setMode({ type: "pass" });
      process.logRelay?.setMode({ type: "pass" });
    }
    restart(model);
    await Promise.all(pending.splice(0));
    await cluster.waitUntilReady();
    for (const upstream of cluster.upstreams) {
      // A restarted upstream may not listen yet.
      while (
        !await cluster.setUpstreamBehavior(upstream, {}).then(
          () => true,
          () => false,
        )
      ) {
        await sleep(50);
      }
    }
    await cluster.publish(
      ["a", "b", "c"].map((zone) => ({
        path: `zones.${zone}.state`,
        value: "in",
      })),
    );
  }

  it("violate no guarantee", async () => {
    // Guards against combinations of faults that no other test covers.
    const property = fc.asyncProperty(commands, async (commandRun) => {
      runs++;
      const submissionCount = caller.oracle.submissions.length;
      const model: FuzzModel = {
        keys: [],
        killedIds: new Set(),
      };
      await fc.asyncModelRun(() => ({ model, real: {} }), commandRun);
      await repair(model);
      const submissions = caller.oracle.submissions.slice(submissionCount);
      printCompletedShare(`run ${runs}`, submissions);
      const violations = await caller.findViolations(cluster);
      if (violations.length > 0) {
        throw new Error(violations.join("\n"));
      }
    });
    // Failures are not shrunk: all runs share one cluster, so a run can't be
    // repeated exactly.
    await fc.assert(property, {
      seed: SEED,
      numRuns: RUN_COUNT,
      endOnFailure: true,
    });
  });
});
