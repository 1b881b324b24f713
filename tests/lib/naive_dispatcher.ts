import * as http from "node:http";
import type { ClusterProcess } from "../../scripts/lib/cluster.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { Oracle } from "./oracle.ts";

/** Time limit of one attempt, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 1_000;

/** Maximum number of attempts of one task. */
const MAX_ATTEMPTS = 3;

export interface NaiveJob {
  key: string;
  tasks: number;
  runMs: number;
}

/**
 * A dispatcher without the system's safeguards, as a baseline for comparison:
 * it picks a random upstream, claims no keys, limits each attempt to a fixed
 * time, retries after every error, and reports a task without an answer as
 * "not run".
 */
export class NaiveDispatcher {
  readonly #upstreams: readonly ClusterProcess[];
  readonly #oracle: Oracle;

  constructor(upstreams: readonly ClusterProcess[], oracle: Oracle) {
    this.#upstreams = upstreams;
    this.#oracle = oracle;
  }

  /** Runs a job, and records it and its answer in the oracle. */
  async submit({ key, tasks, runMs }: NaiveJob): Promise<void> {
    const bodies = Array.from(
      { length: tasks },
      (_, n) => JSON.stringify({ runMs, id: `${key}/${n}` }),
    );
    const submission = this.#oracle.add({ key, bodies, repeatable: false });
    const results = await Promise.all(
      bodies.map((body, index) => this.#runTask({ key, index, body })),
    );
    submission.answer = createAnswer(results);
    submission.answeredAt = Date.now();
  }

  async #runTask(
    task: { key: string; index: number; body: string },
  ): Promise<string | undefined> {
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
      const { length } = this.#upstreams;
      const upstream = this.#upstreams[Math.floor(Math.random() * length)];
      const body = await send(upstream as ClusterProcess, task)
        .catch(() => undefined);
      if (body !== undefined) {
        return body;
      }
    }
    return undefined;
  }
}

function createAnswer(results: (string | undefined)[]): CallerAnswer {
  if (results.every((body) => body !== undefined)) {
    const answers = results.map((body, index) => ({
      ...{ index, status: 200, body: body ?? "" },
    }));
    return { status: "complete", answers };
  }
  const tasks = results.map((body, index) => ({
    ...{ index, kind: "failed" },
    outcome: body === undefined ? "not run" as const : "run" as const,
  }));
  return {
    status: "failed",
    error: { kind: "failed", outcome: "unknown" },
    tasks,
  };
}

function send(
  upstream: ClusterProcess,
  task: { key: string; index: number; body: string },
): Promise<string> {
  return new Promise((resolve, reject) => {
    const request = http.request(`http://${upstream.httpAddress}/echo`, {
      method: "POST",
      headers: {
        "x-task-key": `default/${task.key}`,
        "x-task-index": String(task.index),
        "x-task-attempt": "1",
      },
      signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
    });
    request.on("error", reject);
    request.on("response", async (response) => {
      try {
        response.setEncoding("utf8");
        let text = "";
        for await (const chunk of response) {
          text += chunk;
        }
        response.statusCode === 200
          ? resolve(text)
          : reject(new Error(`status ${response.statusCode}`));
      } catch (error) {
        reject(error);
      }
    });
    request.end(task.body);
  });
}
