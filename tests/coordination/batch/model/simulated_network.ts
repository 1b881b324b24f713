/** The streams and paths between the entries and agents of a model. */
import type { BatchFrame } from "../../../../src/coordination/messages/mod.ts";
import type { PeerConnector } from "../../../../src/coordination/ports/mod.ts";
import type { TestRandom } from "../../../lib/test_random.ts";
import { SimulatedPath } from "./simulated_path.ts";
import type { SimulatedProcess } from "./simulated_process.ts";
import { SimulatedStream } from "./simulated_stream.ts";
import type { SimulatedTime } from "./simulated_time.ts";

/** Longest time until an end notices that its stream is broken. */
const MAX_RESET_DELAY_MS = 20;

interface Server {
  process: SimulatedProcess;
  serve: (stream: SimulatedStream) => void;
}

interface Connection {
  client: string;
  server: string;
  clientEnd: SimulatedStream;
  serverEnd: SimulatedStream;
}

export class SimulatedNetwork {
  readonly #time: SimulatedTime;
  readonly #random: TestRandom;
  readonly #servers = new Map<string, Server>();
  readonly #paths = new Map<string, SimulatedPath>();
  #connections: Connection[] = [];

  constructor(time: SimulatedTime, random: TestRandom) {
    this.#time = time;
    this.#random = random;
  }

  /** Sets the process that accepts streams at an address. */
  setServer(address: string, server: Server): void {
    this.#servers.set(address, server);
  }

  /** Creates the connector of a process. */
  createConnector(process: SimulatedProcess): PeerConnector<BatchFrame> {
    return { open: (address) => this.#open(process, address) };
  }

  /** Gets the path from one process to another by their names or addresses. */
  getPath(from: string, to: string): SimulatedPath {
    const key = `${from}>${to}`;
    const path = this.#paths.get(key) ??
      new SimulatedPath(this.#time, this.#random);
    this.#paths.set(key, path);
    return path;
  }

  getPaths(): readonly SimulatedPath[] {
    return [...this.#paths.values()];
  }

  /** Breaks the streams between a client and a server. */
  failStreams(client: string, server: string): void {
    for (const connection of this.#connections) {
      if (connection.client === client && connection.server === server) {
        for (const end of [connection.clientEnd, connection.serverEnd]) {
          end.fail("reset", this.#random.getInt(0, MAX_RESET_DELAY_MS));
        }
      }
    }
    this.#connections = this.#connections.filter((connection) =>
      connection.client !== client || connection.server !== server
    );
  }

  /** Ends the streams of a process that has ended. */
  closeStreams(process: SimulatedProcess): void {
    for (const { clientEnd, serverEnd } of this.#connections) {
      for (const end of [clientEnd, serverEnd]) {
        if (end.process === process) {
          end.sendEnd();
        }
      }
    }
    this.#connections = this.#connections.filter(({ clientEnd, serverEnd }) =>
      clientEnd.process !== process && serverEnd.process !== process
    );
  }

  #open(process: SimulatedProcess, address: string): SimulatedStream {
    const time = this.#time;
    const clientEnd = new SimulatedStream({
      time,
      path: this.getPath(process.name, address),
    });
    const serverEnd = new SimulatedStream({
      time,
      path: this.getPath(address, process.name),
    });
    clientEnd.process = process;
    clientEnd.other = serverEnd;
    serverEnd.other = clientEnd;
    const client = process.name;
    this.#connections.push({ client, server: address, clientEnd, serverEnd });
    clientEnd.sendToOther(() => this.#accept(address, serverEnd));
    return clientEnd;
  }

  #accept(address: string, serverEnd: SimulatedStream): void {
    const server = this.#servers.get(address);
    if (server === undefined || server.process.state === "ended") {
      serverEnd.sendToOther((clientEnd) => clientEnd.fail("refused"));
      return;
    }
    serverEnd.process = server.process;
    this.#time.schedule(0, () => server.serve(serverEnd), {
      getProcess: () => server.process,
    });
  }
}
