import { err, ok, type Result } from "neverthrow";
import * as http from "node:http";
import * as z from "zod";
import type { LogPage, LogService } from "../../coordination/ports/mod.ts";
import { VIEW_LIMITS } from "../../coordination/follower/mod.ts";
import { createError, type DispatchError } from "../../state/errors/mod.ts";
import { isNestedWithin } from "../../state/json/mod.ts";
import type { LogRecord } from "../../state/view/mod.ts";

/** Timeout of an append, in milliseconds. */
const APPEND_TIMEOUT_MS = 3_000;

const AppendResponse = z.object({ offset: z.int() });
const PageResponse = z.object({
  first: z.int(),
  head: z.int(),
  records: z.array(z.object({ offset: z.int(), record: z.unknown() })),
});

interface LogResponse {
  readonly status: number;
  readonly text: string;
}

export interface HttpLogServiceOptions {
  /** Longest time without any part of an answer to a read, in milliseconds. */
  readTimeoutMs?: number;
}

/**
 * Client of the platform's log service over HTTP. Time limits apply to the time
 * without any part of an answer: a page may hold a snapshot of several MB, which
 * takes longer than any fixed time on a slow link.
 */
export class HttpLogService implements LogService {
  readonly #baseUrl: string;
  readonly #readTimeoutMs: number;
  readonly #agent = new http.Agent({ keepAlive: true });

  /** @param address - `host:port` of the log service. */
  constructor(address: string, options: HttpLogServiceOptions = {}) {
    this.#baseUrl = `http://${address}`;
    this.#readTimeoutMs = options.readTimeoutMs ?? VIEW_LIMITS.logReadAbortMs;
  }

  async append(record: LogRecord): Promise<Result<number, DispatchError>> {
    const body = JSON.stringify(record);
    const reply = await this.#send("POST", "/v1/records", {
      body,
      timeoutMs: APPEND_TIMEOUT_MS,
    });
    if (reply.isErr()) {
      return err(reply.error);
    }
    const appended = AppendResponse.safeParse(parseJson(reply.value.text));
    if (reply.value.status !== 200 || !appended.success) {
      const message =
        `the log answered an append with status ${reply.value.status}`;
      // Only if the request itself was refused (4xx, such as for too many
      // appends) is it certain that it had no effect. `log_unreachable` also
      // stands for such a refusal: the record was certainly not appended.
      const isRefused = reply.value.status >= 400 && reply.value.status < 500;
      const kind = isRefused ? "log_unreachable" : "publish_unknown";
      return err(createError(kind, message));
    }
    return ok(appended.data.offset);
  }

  async read(
    from: number,
    limit: number,
  ): Promise<Result<LogPage, DispatchError>> {
    const timeoutMs = this.#readTimeoutMs;
    const path = `/v1/records?from=${from}&limit=${limit}`;
    const reply = await this.#send("GET", path, { timeoutMs });
    if (reply.isErr()) {
      return err(reply.error);
    }
    if (reply.value.status === 410) {
      const goneBody = z.object({ first: z.int() }).safeParse(
        parseJson(reply.value.text),
      );
      if (goneBody.success && goneBody.data.first > from) {
        return await this.read(goneBody.data.first, limit);
      }
    }
    const page = PageResponse.safeParse(parseJson(reply.value.text));
    if (reply.value.status !== 200 || !page.success) {
      const message =
        `the log answered a read with status ${reply.value.status}`;
      return err(createError("log_unreachable", message));
    }
    const records = page.data.records.map(({ offset, record }) => ({
      offset,
      json: formatRecord(record),
    }));
    return ok({ first: page.data.first, head: page.data.head, records });
  }

  #send(
    method: "GET" | "POST",
    path: string,
    options: { body?: string; timeoutMs: number },
  ): Promise<Result<LogResponse, DispatchError>> {
    return new Promise((resolve) => {
      let isConnected = false;
      const request = http.request(this.#baseUrl + path, {
        method,
        agent: this.#agent,
        headers: options.body === undefined
          ? {}
          : { "content-type": "application/json" },
      });
      const fail = (message: string) => {
        // Once the record may have been sent, an error does not show whether
        // the append took effect.
        const kind = method === "POST" && isConnected
          ? "publish_unknown"
          : "log_unreachable";
        resolve(err(createError(kind, message)));
      };
      const timer = setTimeout(
        () =>
          request.destroy(
            new Error(`no part of a reply within ${options.timeoutMs} ms`),
          ),
        options.timeoutMs,
      );
      request.on("socket", (socket) => {
        isConnected = !socket.connecting;
        if (socket.connecting) {
          socket.once("connect", () => isConnected = true);
        }
      });
      request.on("error", (error) => {
        clearTimeout(timer);
        fail(error.message);
      });
      request.on("response", (response) => {
        readText(response, () => timer.refresh()).then(
          (text) => resolve(ok({ status: response.statusCode ?? 0, text })),
          (error) => fail((error as Error).message),
        ).finally(() => clearTimeout(timer));
      });
      request.end(options.body);
    });
  }
}

/**
 * Formats a record of another writer. One that is nested too deeply to be
 * formatted becomes empty text, which followers pass over as unreadable.
 */
function formatRecord(record: unknown): string {
  return isNestedWithin(record) ? JSON.stringify(record) : "";
}

async function readText(
  response: http.IncomingMessage,
  onProgress: () => void,
): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of response) {
    onProgress();
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
