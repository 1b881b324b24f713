import { setTimeout as wait } from "node:timers/promises";
import type { Relay } from "../lib/relay.ts";
import type { DisturbanceHistory } from "./disturbance_history.ts";
import type { SoakAgent } from "./soak_agent.ts";
import type { SoakCluster } from "./soak_cluster.ts";
import type { SoakEntry } from "./soak_entry.ts";
import type { SoakClients } from "./soak_clients.ts";
import type { LinkAction } from "./link_action.ts";
import type { SoakFault } from "./soak_fault.ts";
import type { SoakOperator } from "./soak_operator.ts";
import type { SoakOracle } from "./soak_oracle.ts";

/** Time after which a process that was killed or stopped runs again. */
const PROCESS_RESTART_MS = 2_000;

/** Delay of the bytes on a slow link. */
const LINK_DELAY_MS = 150;

/** Minimum time between the drain notice of a worker and its end. */
const DRAIN_NOTICE_MS = 3_000;

export interface ApplySoakFaultOptions {
  cluster: SoakCluster;
  clients: SoakClients;
  operator: SoakOperator;
  oracle: SoakOracle;
  disturbanceHistory: DisturbanceHistory;
}

/** Runs a function during which the named processes count as disturbed. */
type Disturb = (names: string[], run: () => Promise<void>) => Promise<void>;

type Member = SoakAgent | SoakEntry;

/** Applies a fault, waits for its duration, and reverts it. */
export async function applySoakFault(
  fault: SoakFault,
  options: ApplySoakFaultOptions,
): Promise<void> {
  const { cluster, clients, operator, oracle, disturbanceHistory } = options;
  const { forMs } = fault;
  const disturb: Disturb = async (names, run) => {
    names.forEach((name) => disturbanceHistory.recordBegin(name));
    await run();
    names.forEach((name) => disturbanceHistory.recordEnd(name));
  };
  switch (fault.kind) {
    case "kill": {
      await killMembers([getMember(cluster, fault)], disturb);
      return;
    }
    case "stop": {
      const { process } = getMember(cluster, fault);
      // Clients must not notice the planned stop of an entry.
      await disturb(fault.role === "entry" ? [] : [process.name], async () => {
        process.sendSignal("SIGTERM");
        await wait(PROCESS_RESTART_MS);
      });
      return;
    }
    case "pause": {
      await pauseMembers([getMember(cluster, fault)], forMs, disturb);
      return;
    }
    case "hup":
      getMember(cluster, fault).process.sendSignal("SIGHUP");
      return;
    case "kill_all": {
      await killMembers([...cluster.entries, ...cluster.agents], disturb);
      return;
    }
    case "link": {
      const { relay, name } = getLink(cluster, fault);
      await disturb([name], () => applyToLink(relay, fault.action, forMs));
      return;
    }
    case "store":
      await disturb(["store"], async () => {
        cluster.store.faults = fault.faults;
        await wait(forMs);
        cluster.store.faults = {};
      });
      return;
    case "store_history":
      await disturb(["store"], () => {
        cluster.store.dropHistory();
        return Promise.resolve();
      });
      return;
    case "worker": {
      const { worker } = getAgent(cluster, fault.target);
      worker.faults = fault.faults;
      await wait(forMs);
      worker.faults = {};
      return;
    }
    case "worker_crash": {
      const agent = getAgent(cluster, fault.target);
      await disturb(
        [agent.process.name],
        () => restartWorker(agent, fault, forMs),
      );
      return;
    }
    case "worker_drain": {
      const { worker, workerRelay } = getAgent(cluster, fault.target);
      worker.drain();
      await wait(DRAIN_NOTICE_MS + forMs);
      worker.crash();
      workerRelay.resetConnections();
      await wait(forMs);
      worker.startIncarnation();
      return;
    }
    case "worker_replaced": {
      const agent = getAgent(cluster, fault.target);
      const { peerRelay, process } = agent;
      await disturb([process.name], async () => {
        peerRelay.setMode({ type: "hold" });
        await restartWorker(agent, fault, forMs / 3);
        await wait(forMs * 2 / 3);
        peerRelay.setMode({ type: "pass" });
      });
      return;
    }
    case "zone_out":
      operator.setZoneState(fault.zone, "out");
      await wait(forMs);
      operator.setZoneState(fault.zone, "in");
      return;
    case "config":
      operator.changeRoutes();
      return;
    case "burst":
      clients.rateFactor *= fault.factor;
      await wait(forMs);
      clients.rateFactor /= fault.factor;
      return;
    case "resend": {
      const { ids, ended } = clients.submitResentJobs(fault);
      await wait(fault.afterMs);
      const workerIds = oracle.getActiveWorkerIds(ids);
      const agents = cluster.agents.filter(({ worker }) =>
        workerIds.has(worker.workerId)
      );
      const entry = cluster.entries[fault.target] as SoakEntry;
      await disruptResentJobs(fault, { entry, agents, disturb });
      await ended;
      return;
    }
    default:
      fault satisfies never;
  }
}

/** Ends the worker of an agent, and starts another incarnation after some time. */
async function restartWorker(
  { worker, workerRelay }: SoakAgent,
  options: { keepsId: boolean; workerKind?: string | undefined },
  awayMs: number,
): Promise<void> {
  worker.crash();
  workerRelay.setMode({ type: "refuse" });
  await wait(awayMs);
  workerRelay.setMode({ type: "pass" });
  const { keepsId, workerKind } = options;
  worker.startIncarnation({ keepsId, workerKind });
}

/** Disrupts the first entry of jobs, or the agents that run them. */
async function disruptResentJobs(
  { disruption, forMs }: SoakFault & { kind: "resend" },
  options: { entry: SoakEntry; agents: SoakAgent[]; disturb: Disturb },
): Promise<void> {
  const { entry, agents, disturb } = options;
  switch (disruption) {
    case "pause_entry":
      return await pauseMembers([entry], forMs, disturb);
    case "kill_entry":
      return await killMembers([entry], disturb);
    case "pause_agents":
      return await pauseMembers(agents, forMs, disturb);
    case "kill_agents":
      return await killMembers(agents, disturb);
    case "hold_forward":
    case "hold_backward":
      await Promise.all(
        agents.map(({ peerRelay, process }) =>
          disturb(
            [process.name],
            () => applyToLink(peerRelay, disruption, forMs),
          )
        ),
      );
      return;
    default:
      disruption satisfies never;
  }
}

async function pauseMembers(
  members: readonly Member[],
  forMs: number,
  disturb: Disturb,
): Promise<void> {
  await disturb(members.map(({ process }) => process.name), async () => {
    members.forEach(({ process }) => process.sendSignal("SIGSTOP"));
    await wait(forMs);
    members.forEach(({ process }) => process.sendSignal("SIGCONT"));
  });
}

async function killMembers(
  members: readonly Member[],
  disturb: Disturb,
): Promise<void> {
  await disturb(members.map(({ process }) => process.name), async () => {
    members.forEach(({ process }) => process.sendSignal("SIGKILL"));
    await wait(PROCESS_RESTART_MS);
  });
}

async function applyToLink(
  relay: Relay,
  action: LinkAction,
  forMs: number,
): Promise<void> {
  switch (action) {
    case "reset":
      relay.resetConnections();
      return;
    case "silence":
      relay.silenceConnections();
      return;
    case "refuse":
      relay.setMode({ type: "refuse" });
      break;
    case "hold":
      relay.setMode({ type: "hold" });
      break;
    case "hold_forward":
      relay.setMode({ type: "hold", direction: "forward" });
      break;
    case "hold_backward":
      relay.setMode({ type: "hold", direction: "backward" });
      break;
    case "delay":
      relay.setMode({ type: "delay", delayMs: LINK_DELAY_MS });
      break;
    default:
      action satisfies never;
  }
  await wait(forMs);
  relay.setMode({ type: "pass" });
}

function getAgent(cluster: SoakCluster, target: number): SoakAgent {
  return cluster.agents[target] as SoakAgent;
}

function getMember(
  cluster: SoakCluster,
  { role, target }: { role: "entry" | "agent"; target: number },
): Member {
  return role === "agent"
    ? getAgent(cluster, target)
    : cluster.entries[target] as SoakEntry;
}

function getLink(
  cluster: SoakCluster,
  { link, target }: SoakFault & { kind: "link" },
): { relay: Relay; name: string } {
  if (link === "entry_store") {
    const { process, storeRelay } = cluster.entries[target] as SoakEntry;
    return { relay: storeRelay, name: process.name };
  }
  const agent = getAgent(cluster, target);
  const relays = {
    peer: agent.peerRelay,
    worker: agent.workerRelay,
    agent_store: agent.storeRelay,
  } as const;
  return { relay: relays[link], name: agent.process.name };
}
