import type { EnqueueOptions } from "./enqueue_options.ts";
import type { WaitingTask } from "./waiting_task.ts";

/**
 * Waiting tasks of one submission that can be placed on the same agents, in
 * order of arrival.
 */
export class TaskGroup {
  readonly options: EnqueueOptions;
  #tasks: WaitingTask[] = [];
  #head = 0;

  constructor(options: EnqueueOptions) {
    this.options = options;
  }

  /** Gets the first task that wasn't removed. */
  get first(): WaitingTask | undefined {
    while (this.#tasks[this.#head]?.isRemoved) {
      this.#head++;
    }
    return this.#tasks[this.#head];
  }

  /** Adds a task at the end. */
  add(task: WaitingTask): void {
    this.#tasks.push(task);
  }

  /** Removes the first task. */
  removeFirst(): void {
    this.#head++;
  }
}
