import type { EnqueueOptions } from "./enqueue_options.ts";
import type { WaitingTask } from "./waiting_task.ts";

/**
 * Waiting tasks of one submission that exclude the same agents, in order of
 * arrival.
 */
export class TaskGroup {
  readonly options: EnqueueOptions;
  #tasks: WaitingTask[] = [];
  #firstIndex = 0;

  constructor(options: EnqueueOptions) {
    this.options = options;
  }

  /** Gets the first task that isn't marked as removed. */
  get first(): WaitingTask | undefined {
    while (this.#tasks[this.#firstIndex]?.isRemoved) {
      this.#firstIndex++;
    }
    return this.#tasks[this.#firstIndex];
  }

  /** Adds a task at the end. */
  add(task: WaitingTask): void {
    this.#tasks.push(task);
  }

  /** Removes the first task. */
  removeFirst(): void {
    this.#firstIndex++;
  }
}
