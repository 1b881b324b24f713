import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as wait } from "node:timers/promises";

/**
 * One scripted answer; `silent` leaves the call unanswered, and `reset`
 * destroys its connection. `parts` are sent one after the other, each after a delay;
 * with `isStalled`, the answer doesn't end.
 */
export type ScriptedAnswer =
  | { status: number; body: unknown }
  | { status: number; bytes: Buffer }
  | { status: number; parts: Buffer[]; delayMs: number; isStalled?: boolean }
  | "silent"
  | "reset";

/** A server that records calls and gives scripted answers, in order. */
export class ScriptedHttpServer {
  readonly calls: {
    method: string;
    url: string;
    headers: http.IncomingHttpHeaders;
    body: Buffer;
  }[] = [];
  readonly answers: ScriptedAnswer[] = [];
  readonly #server = http.createServer((request, response) =>
    this.#handleRequest(request, response)
  );

  /** Starts listening, and returns the address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    this.calls.push({
      method: request.method ?? "",
      url: request.url ?? "",
      headers: request.headers,
      body: Buffer.concat(chunks),
    });
    const answer = this.answers.shift() ?? { status: 500, body: {} };
    if (answer === "reset") {
      request.socket.destroy();
    } else if (answer !== "silent" && "parts" in answer) {
      response.writeHead(answer.status);
      for (const part of answer.parts) {
        await wait(answer.delayMs);
        response.write(part);
      }
      if (answer.isStalled !== true) {
        response.end();
      }
    } else if (answer !== "silent") {
      response.writeHead(answer.status);
      response.end(
        "bytes" in answer ? answer.bytes : JSON.stringify(answer.body),
      );
    }
  }
}
