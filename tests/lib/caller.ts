import * as http from "node:http";
import type { Cluster, ClusterProcess } from "../../scripts/lib/cluster.ts";
import { CallerAnswer } from "./caller_answer.ts";
import { Oracle, type OracleSubmission } from "./oracle.ts";

/** Longest time that a caller waits for an answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 40_000;

export interface JobOptions {
  key: string;
  entry: ClusterProcess;
  tasks?: number;
  runMs?: number;
  repeatable?: boolean;
  timeoutMs?: number;
  deadlineMs?: number;
  service?: string;
  /** Time after which the caller closes its connection, in milliseconds. */
  giveUpAfterMs?: number;
  /** Connections to reuse. By default each request opens a new one. */
  connections?: http.Agent;
}

export interface LoadOptions extends Omit<JobOptions, "key" | "entry"> {
  /** Prefix of the jobs' keys. */
  prefix: string;
  entries: readonly ClusterProcess[];
  intervalMs: number;
  /**
   * Called with the number of the next job; ends the load when it returns
   * false.
   */
  shouldContinue: (count: number) => boolean;
}

/** Submits jobs as callers do, and records jobs and answers in an oracle. */
export class Caller {
  readonly oracle = new Oracle();

  /**
   * Submits a job and waits for its answer. The answer is undefined when the
   * request timed out or the connection broke.
   */
  async submit(options: JobOptions): Promise<OracleSubmission> {
    const { key, tasks = 1, runMs = 20, repeatable = false } = options;
    const bodies = Array.from(
      { length: tasks },
      (_, n) => JSON.stringify({ runMs, id: `${key}/${n}` }),
    );
    const submission = this.oracle.add({ key, bodies, repeatable });
    const { timeoutMs, deadlineMs, service = "echo" } = options;
    const body = JSON.stringify({
      service,
      deadlineMs,
      tasks: bodies.map((body) => ({ body, repeatable, timeoutMs })),
    });
    try {
      const text = await send(options, { method: "POST", body });
      submission.answer = CallerAnswer.parse(JSON.parse(text));
      submission.answeredAt = Date.now();
    } catch (error) {
      submission.isRefused =
        (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
      if (error instanceof SyntaxError || !("code" in (error as Error))) {
        throw error;
      }
    }
    return submission;
  }

  /**
   * Submits jobs at a fixed interval to the entries in turn, and waits for all
   * their answers.
   */
  async runLoad(options: LoadOptions): Promise<OracleSubmission[]> {
    const { prefix, entries, intervalMs, shouldContinue, ...job } = options;
    const running: Promise<OracleSubmission>[] = [];
    for (let count = 0; shouldContinue(count); count++) {
      const entry = entries[count % entries.length] as ClusterProcess;
      running.push(this.submit({ ...job, key: `${prefix}-${count}`, entry }));
      await sleep(intervalMs);
    }
    return await Promise.all(running);
  }

  /** Cancels a job through an entry. */
  async cancel(entry: ClusterProcess, key: string): Promise<void> {
    await send({ entry, key }, { method: "DELETE" }).catch(() => {});
  }

  /**
   * Finds violations of the guarantees, given the task starts that a cluster's
   * upstreams have recorded.
   */
  async findViolations(cluster: Cluster): Promise<string[]> {
    return this.oracle.findViolations(await cluster.getTaskStarts());
  }
}

/** Gets the share of submissions with a complete answer, and prints it. */
export function printCompletedShare(
  title: string,
  submissions: readonly OracleSubmission[],
): number {
  const complete =
    submissions.filter(({ answer }) => answer?.status === "complete").length;
  const kinds = new Map<string, number>();
  for (const { answer } of submissions) {
    const kind = answer === undefined
      ? "no answer"
      : answer.status === "failed"
      ? answer.error.kind
      : "complete";
    kinds.set(kind, (kinds.get(kind) ?? 0) + 1);
  }
  const detail = [...kinds].map(([kind, count]) => `${kind} ${count}`);
  console.log(
    `      ${title}: ${complete} of ${submissions.length} complete (${
      detail.join(", ")
    })`,
  );
  return submissions.length === 0 ? 0 : complete / submissions.length;
}

/** Waits for the given time in milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function send(
  job: Pick<JobOptions, "entry" | "key" | "giveUpAfterMs" | "connections">,
  options: { method: "POST" | "DELETE"; body?: string },
): Promise<string> {
  return new Promise((resolve, reject) => {
    const path = options.method === "POST"
      ? "/v1/jobs"
      : `/v1/jobs/${encodeURIComponent(job.key)}`;
    const request = http.request(`http://${job.entry.httpAddress}${path}`, {
      method: options.method,
      agent: job.connections ?? false,
      headers: { "idempotency-key": job.key },
      signal: AbortSignal.timeout(job.giveUpAfterMs ?? ANSWER_TIMEOUT_MS),
    });
    request.on("error", reject);
    request.on("response", async (response) => {
      try {
        response.setEncoding("utf8");
        let text = "";
        for await (const chunk of response) {
          text += chunk;
        }
        resolve(text);
      } catch (error) {
        reject(error);
      }
    });
    request.end(options.body);
  });
}
