import type { BatchJob } from "../../../state/batch/mod.ts";
import type { AgentStream } from "./agent_stream.ts";
import type { BatchTask } from "./batch_task.ts";

/** Occurrence number in the names of tasks; 0 for jobs that run once. */
const OCCURRENCE = 0;

/** The tasks of one job, by step and by name. */
export class JobTasks {
  readonly #steps: readonly BatchTask[][];
  readonly #byName = new Map<string, BatchTask>();

  constructor(job: BatchJob) {
    this.#steps = createTasks(job);
    for (const task of this.#steps.flat()) {
      this.#byName.set(task.name, task);
    }
  }

  /** Gets the number of tasks. */
  get size(): number {
    return this.#byName.size;
  }

  /** Gets the tasks of each step, in the order of the steps. */
  get steps(): readonly BatchTask[][] {
    return this.#steps;
  }

  /** Gets whether a run of the job may be executing. */
  get hasActiveRuns(): boolean {
    for (const { state } of this.#byName.values()) {
      if (state === "sent" || state === "lost") {
        return true;
      }
    }
    return false;
  }

  get(name: string): BatchTask | undefined {
    return this.#byName.get(name);
  }

  getAll(): Iterable<BatchTask> {
    return this.#byName.values();
  }

  /** Finds the tasks in a state whose latest run was ordered on certain streams. */
  find(
    state: BatchTask["state"],
    matches: (stream: AgentStream) => boolean,
  ): BatchTask[] {
    return [...this.#byName.values()].filter((task) =>
      task.state === state && task.stream !== undefined && matches(task.stream)
    );
  }

  /** Finds the steps that are not done. */
  findUnfinishedSteps(): BatchTask[][] {
    return this.#steps.filter((tasks) =>
      tasks.some(({ state }) => state !== "done")
    );
  }

  /** Returns whether all steps that the tasks' step depends on are done. */
  hasDependenciesDone(tasks: readonly BatchTask[]): boolean {
    const [first] = tasks;
    return first !== undefined &&
      first.step.dependsOn.every((number) =>
        this.#steps[number]?.every(({ state }) => state === "done") ?? false
      );
  }
}

function createTasks(job: BatchJob): BatchTask[][] {
  return job.steps.map((step, stepNumber) =>
    Array.from({ length: step.count }, (_, index): BatchTask => ({
      name: `${job.id}.${OCCURRENCE}.${stepNumber}.${index}`,
      step,
      stepNumber,
      index,
      run: 0,
      state: "blocked",
      stream: undefined,
      placed: undefined,
      sentAt: 0,
      lastEnd: undefined,
      failures: 0,
      declines: 0,
      canBeDeclined: false,
      avoidedAgents: new Set(),
      declinedAgents: new Set(),
    }))
  );
}
