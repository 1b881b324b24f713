import * as http from "node:http";
import type { PlannedJob } from "./planned_job.ts";

/** An HTTP response with its body as text. */
interface TextResponse {
  readonly status: number;
  readonly body: string;
}

export interface LoadClientOptions {
  /** `host:port` of each entry. */
  entryAddresses: readonly string[];
  /** Deadline that each job states, in milliseconds. */
  deadlineMs: number;
  /** Aborts the requests that have not been answered. */
  signal: AbortSignal;
}

/** Sends jobs to the entries over keep-alive connections. */
export class LoadClient {
  readonly #options: LoadClientOptions;
  readonly #httpAgent = new http.Agent({
    keepAlive: true,
    maxSockets: Infinity,
  });

  constructor(options: LoadClientOptions) {
    this.#options = options;
  }

  /** Sends a job and gets its answer. */
  sendJob(job: PlannedJob): Promise<TextResponse> {
    const tasks = job.runMs.map((runMs, index) => ({
      body: createTaskBody(runMs, index),
      repeatable: job.repeatable,
      timeoutMs: job.timeoutMs[index],
    }));
    const { deadlineMs } = this.#options;
    const body = JSON.stringify({ service: job.service, tasks, deadlineMs });
    return this.#send(job, { method: "POST", path: "/v1/jobs", body });
  }

  /** Cancels a job at the entry that it was sent to. */
  sendCancel(job: PlannedJob): Promise<TextResponse> {
    return this.#send(job, { method: "DELETE", path: `/v1/jobs/${job.key}` });
  }

  /** Closes the connections. */
  close(): void {
    this.#httpAgent.destroy();
  }

  #send(
    job: PlannedJob,
    options: { method: string; path: string; body?: string },
  ): Promise<TextResponse> {
    const { entryAddresses, signal } = this.#options;
    const address = entryAddresses[job.entry % entryAddresses.length] ?? "";
    const { method, path, body = "" } = options;
    return new Promise((resolve, reject) => {
      const request = http.request(`http://${address}${path}`, {
        method,
        agent: this.#httpAgent,
        signal,
        headers: {
          "idempotency-key": job.key,
          "x-customer": job.customer,
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
        },
      });
      request.on("error", reject);
      request.on("response", (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("error", reject);
        response.on("end", () =>
          resolve({
            status: response.statusCode ?? 0,
            body: Buffer.concat(chunks).toString("utf8"),
          }));
      });
      request.end(body);
    });
  }
}

function createTaskBody(runMs: number, index: number): string {
  return JSON.stringify({ runMs, index });
}
