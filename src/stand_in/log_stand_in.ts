import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { LogFaults } from "./log_faults.ts";

/** Simulated duration of a synced write, in milliseconds. */
const WRITE_MS = 3;

export interface LogStandInOptions {
  host?: string;
  /** Port to listen on; 0 selects a free one. */
  port?: number;
  /** Maximum number of records that are kept; older ones can't be read. */
  retainedRecords?: number;
  /** Maximum number of appends accepted per second; others get status 429. */
  appendsPerSecond?: number;
}

interface StoredRecord {
  readonly offset: number;
  readonly record: unknown;
}

/**
 * A stand-in for the platform's append-only log service, for tests and demos.
 * It keeps its records in memory.
 */
export class LogStandIn {
  readonly #options: Required<LogStandInOptions>;
  readonly #server: http.Server;
  #records: StoredRecord[] = [];
  #head = 0;
  #faults: LogFaults = LogFaults.parse({});
  #secondStartedAt = 0;
  #appendsInSecond = 0;

  constructor(options: LogStandInOptions = {}) {
    this.#options = {
      host: options.host ?? "127.0.0.1",
      port: options.port ?? 0,
      retainedRecords: options.retainedRecords ?? 100_000,
      appendsPerSecond: options.appendsPerSecond ?? 500,
    };
    this.#server = http.createServer((request, response) =>
      void this.#serve(request, response)
    );
  }

  /** Starts to listen, and returns the port. */
  async start(): Promise<number> {
    const { host, port } = this.#options;
    await new Promise<void>((resolve) =>
      this.#server.listen(port, host, resolve)
    );
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops the server and closes its connections. */
  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const body = Buffer.concat(chunks).toString("utf8");
    const url = new URL(request.url ?? "/", "http://localhost");
    if (url.pathname === "/v1/faults") {
      this.#setFaults(body, response);
      return;
    }
    if (this.#faults.isDown) {
      request.socket.destroy();
      return;
    }
    if (this.#faults.isHanging) {
      return;
    }
    switch (`${request.method} ${url.pathname}`) {
      case "POST /v1/records":
        await this.#append(body, response);
        return;
      case "GET /v1/records":
        await this.#read(url.searchParams, response);
        return;
      default:
        writeJson(response, 404, { error: "no such resource" });
    }
  }

  #setFaults(body: string, response: http.ServerResponse): void {
    const faults = LogFaults.safeParse(JSON.parse(body));
    if (faults.success) {
      this.#faults = faults.data;
    }
    writeJson(response, faults.success ? 200 : 400, this.#faults);
  }

  async #append(body: string, response: http.ServerResponse): Promise<void> {
    if (!this.#tryCountAppend()) {
      writeJson(response, 429, { error: "too many appends" });
      return;
    }
    this.#head++;
    const offset = this.#head;
    this.#records.push({ offset, record: JSON.parse(body) });
    if (this.#records.length > this.#options.retainedRecords) {
      this.#records = this.#records.slice(-this.#options.retainedRecords);
    }
    await sleep(WRITE_MS + this.#faults.delayMs);
    if (this.#faults.lostReplies > 0) {
      this.#faults = {
        ...this.#faults,
        lostReplies: this.#faults.lostReplies - 1,
      };
      response.socket?.destroy();
      return;
    }
    writeJson(response, 200, { offset });
  }

  async #read(
    query: URLSearchParams,
    response: http.ServerResponse,
  ): Promise<void> {
    const from = Number(query.get("from") ?? 1);
    const limit = Number(query.get("limit") ?? 500);
    const first = this.#records[0]?.offset ?? this.#head + 1;
    const head = this.#head;
    const records = this.#records.slice(
      Math.max(0, from - first),
      Math.max(0, from - first) + limit,
    );
    await sleep(this.#faults.delayMs);
    if (from < first) {
      writeJson(response, 410, { first });
      return;
    }
    writeJson(response, 200, { first, head, records });
  }

  #tryCountAppend(): boolean {
    const now = performance.now();
    if (now - this.#secondStartedAt >= 1_000) {
      this.#secondStartedAt = now;
      this.#appendsInSecond = 0;
    }
    this.#appendsInSecond++;
    return this.#appendsInSecond <= this.#options.appendsPerSecond;
  }
}

function sleep(ms: number): Promise<void> {
  return ms === 0
    ? Promise.resolve()
    : new Promise((resolve) => setTimeout(resolve, ms));
}

function writeJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}
