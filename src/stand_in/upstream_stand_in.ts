import { appendFileSync } from "node:fs";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import * as z from "zod";
import type { TaskStart } from "./task_start.ts";
import { UpstreamBehavior } from "./upstream_behavior.ts";

/** Interval of the upstream's announcements, in milliseconds. */
const ANNOUNCE_INTERVAL_MS = 1_000;

/** Run time of a task that doesn't state one, in milliseconds. */
const DEFAULT_RUN_MS = 50;

const TaskBody = z.object({ runMs: z.number().min(0).max(600_000) });

export interface UpstreamStandInOptions {
  host?: string;
  /** Port to listen on; 0 selects a free one. */
  port?: number;
  /**
   * `host:port` of the agent's HTTP server; without it the upstream doesn't
   * announce itself.
   */
  agentAddress?: string | undefined;
  services: string[];
  slots?: number;
  behavior?: UpstreamBehavior;
  /**
   * File to which every task start is appended as a line of JSON, so that the
   * record survives a kill of the process.
   */
  startsPath?: string | undefined;
}

/**
 * A stand-in for an upstream, for tests and demos. A task's body may be JSON
 * with the run time `runMs`, in milliseconds; the answer repeats the body. It
 * records every task start, so that tests can count them.
 */
export class UpstreamStandIn {
  readonly #options: UpstreamStandInOptions;
  readonly #server: http.Server;
  readonly #taskStarts: TaskStart[] = [];
  #behavior: UpstreamBehavior;
  #isStopped = false;

  constructor(options: UpstreamStandInOptions) {
    this.#options = options;
    this.#behavior = options.behavior ?? UpstreamBehavior.parse({});
    this.#server = http.createServer((request, response) =>
      void this.#serve(request, response)
    );
    this.#server.keepAliveTimeout = 60_000;
  }

  /** Starts to listen, and returns the port. */
  async start(): Promise<number> {
    const { host = "127.0.0.1", port = 0 } = this.#options;
    await new Promise<void>((resolve) =>
      this.#server.listen(port, host, resolve)
    );
    void this.#announceRepeatedly();
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops the server and closes its connections. */
  stop(): void {
    this.#isStopped = true;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /**
   * Announces the upstream to its agent periodically, since the agent may
   * restart.
   */
  async #announceRepeatedly(): Promise<void> {
    const { agentAddress, services, slots = 8 } = this.#options;
    while (agentAddress !== undefined && !this.#isStopped) {
      try {
        if (this.#behavior.isAnnounced) {
          await fetch(`http://${agentAddress}/v1/upstream`, {
            method: "PUT",
            body: JSON.stringify({ services, slots }),
          });
        }
      } catch {
        // The agent isn't running; the next announcement may reach it.
      }
      await new Promise((resolve) => setTimeout(resolve, ANNOUNCE_INTERVAL_MS));
    }
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://localhost");
    if (url.pathname.startsWith("/v1/")) {
      await this.#serveControl(request, response);
      return;
    }
    this.#recordStart({
      key: decodeURIComponent(String(request.headers["x-task-key"])),
      index: Number(request.headers["x-task-index"]),
      attempt: Number(request.headers["x-task-attempt"]),
      timeMs: Date.now(),
    });
    try {
      await this.#runTask(await readBody(request), response);
    } catch {
      // The agent closed the connection.
    }
  }

  #recordStart(start: TaskStart): void {
    this.#taskStarts.push(start);
    if (this.#options.startsPath !== undefined) {
      appendFileSync(this.#options.startsPath, `${JSON.stringify(start)}\n`);
    }
  }

  async #runTask(body: Buffer, response: http.ServerResponse): Promise<void> {
    switch (this.#behavior.mode) {
      case "normal":
        await sleep(readRunMs(body) / this.#behavior.speed);
        response.writeHead(200, { "content-length": body.length });
        response.end(body);
        return;
      case "failing":
        response.writeHead(500);
        response.end("failed");
        return;
      case "resetting":
        response.writeHead(200, { "content-length": body.length + 1 });
        response.write(body);
        await sleep(5);
        response.socket?.resetAndDestroy();
        return;
      case "hanging":
        return;
      default:
        return this.#behavior.mode satisfies never;
    }
  }

  async #serveControl(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    switch (`${request.method} ${request.url}`) {
      case "GET /v1/starts":
        response.end(JSON.stringify(this.#taskStarts));
        return;
      case "PUT /v1/behavior": {
        const value = JSON.parse((await readBody(request)).toString("utf8"));
        const behavior = UpstreamBehavior.safeParse(value);
        this.#behavior = behavior.success ? behavior.data : this.#behavior;
        response.writeHead(behavior.success ? 200 : 400).end();
        return;
      }
      default:
        response.writeHead(404).end();
    }
  }
}

async function readBody(request: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function readRunMs(body: Buffer): number {
  try {
    const parsed = TaskBody.safeParse(JSON.parse(body.toString("utf8")));
    return parsed.success ? parsed.data.runMs : DEFAULT_RUN_MS;
  } catch {
    return DEFAULT_RUN_MS;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
