import type {
  BatchBody,
  BatchFrame,
  StartRuns,
  WorkerProfile,
  WorkerStatus,
} from "../../src/coordination/messages/mod.ts";
import type { PeerConnector } from "../../src/coordination/ports/mod.ts";
import { MemoryStream } from "./memory_stream.ts";

const PROFILE: WorkerProfile = {
  ...{ workerId: "w-1", cpuMillis: 16_000, memoryMb: 65_536, gpus: 0 },
  ...{ labels: [], rack: "", zone: "a", service: "s", revision: 7 },
};

const STATUS: WorkerStatus = {
  ...{ acceptsWork: true, isSettled: true, entries: 1, slowdown: 1 },
  ...{ freeCpuMillis: 16_000, freeMemoryMb: 65_536, freeGpus: 0 },
  ...{ runningLeftMs: [], queuedRuns: [], queuedMs: [], receivedBatch: 0 },
  ...{ failureShare: 0, suspectRuns: 0 },
};

/** A stream whose agent answers pings, and grants each claim. */
class AnsweringStream extends MemoryStream {
  override send(frame: BatchFrame): void {
    super.send(frame);
    switch (frame.kind.case) {
      case "ping":
        this.#answer(frame, frame.kind);
        return;
      case "claimJob": {
        const { jobId, number } = frame.kind.value;
        const value = {
          jobId,
          number,
          outcome: "granted",
          holder: "",
        } as const;
        this.#answer(frame, { case: "claimReply", value });
        return;
      }
    }
  }

  #answer({ sentAtMs }: BatchFrame, kind: BatchBody): void {
    const now = Math.floor(performance.now());
    this.received.add({ sentAtMs: now, echoAtMs: sentAtMs, kind });
  }
}

/** In-memory agents that record what an entry sends to them. */
export class FakeAgentPeers implements PeerConnector<BatchFrame> {
  /** Revision of the profile that each agent sends of its worker. */
  readonly workerRevision = PROFILE.revision;
  /** All streams that were opened, in order. */
  readonly opened: { address: string; stream: MemoryStream }[] = [];

  open(address: string): MemoryStream {
    const stream = new AnsweringStream();
    this.opened.push({ address, stream });
    return stream;
  }

  /** Returns whether the entry has opened a stream to an address. */
  hasStream(address: string): boolean {
    return this.#find(address) !== undefined;
  }

  /** Counts the streams that the entry has opened to an address. */
  countOpened(address: string): number {
    return this.opened.filter((opened) => opened.address === address).length;
  }

  /** Sends a frame of the agent on its newest stream. */
  sendBody(address: string, kind: BatchBody): void {
    const now = Math.floor(performance.now());
    const frame = { sentAtMs: now, echoAtMs: now, kind };
    this.#find(address)?.received.add(frame);
  }

  /** Sends the hello, the profile and a status of the agent. */
  sendStatus(
    address: string,
    { name, ...changes }: Partial<WorkerStatus> & { name: string },
  ): void {
    const hello = { name, incarnation: "i", stream: 0, uptimeMs: 60_000 };
    this.sendBody(address, { case: "hello", value: hello });
    this.sendBody(address, { case: "workerProfile", value: PROFILE });
    const value = { ...STATUS, ...changes };
    this.sendBody(address, { case: "workerStatus", value });
  }

  /** Sends the hello of an agent, and that it has no worker. */
  sendAgentWithoutWorker(
    address: string,
    { name, uptimeMs }: { name: string; uptimeMs: number },
  ): void {
    const hello = { name, incarnation: "i", stream: 0, uptimeMs };
    this.sendBody(address, { case: "hello", value: hello });
    const profile = { ...PROFILE, workerId: "", service: "", revision: 0 };
    this.sendBody(address, { case: "workerProfile", value: profile });
    const value = { ...STATUS, acceptsWork: false };
    this.sendBody(address, { case: "workerStatus", value });
  }

  /** Ends the newest stream to an address. */
  closeStream(address: string): void {
    this.#find(address)?.close();
  }

  /** Counts the frames of a kind that were sent to an address. */
  countSent(address: string, kindCase: BatchBody["case"]): number {
    return this.#getSent(address)
      .filter((kind) => kind.case === kindCase).length;
  }

  /** Gets the orders that were sent to an address on all of its streams. */
  getStarts(address: string): StartRuns[] {
    return this.#getSent(address)
      .filter((kind) => kind.case === "startRuns")
      .map(({ value }) => value);
  }

  /** Gets what was sent to an address on all of its streams. */
  #getSent(address: string): BatchBody[] {
    return this.opened.filter((opened) => opened.address === address)
      .flatMap(({ stream }) => stream.sent)
      .map(({ kind }) => kind);
  }

  #find(address: string): MemoryStream | undefined {
    return this.opened.findLast((opened) => opened.address === address)?.stream;
  }
}
