import type { FairQueueState } from "./fair_queue_state.ts";
import { ServiceQueue } from "./service_queue.ts";
import type { WaitingTask } from "./waiting_task.ts";

/** The waiting tasks of one team. */
export class TeamQueue implements FairQueueState {
  virtualTime = 0;
  waiting = 0;
  running = 0;
  readonly #queuesByService = new Map<string, ServiceQueue>();

  /** Adds a task. */
  add(task: WaitingTask): void {
    const { service } = task.options;
    const queue = this.#queuesByService.get(service) ?? new ServiceQueue();
    this.#queuesByService.set(service, queue);
    queue.add(task);
    this.waiting++;
  }

  /**
   * Finds the next task to start: by the highest priority, then by the lowest
   * order.
   * @param hasAvailableAgent - Returns whether any task of a service can be
   * placed.
   * @param canPlace - Returns whether this task can be placed.
   */
  findFirst(
    hasAvailableAgent: (service: string) => boolean,
    canPlace: (task: WaitingTask) => boolean,
  ): WaitingTask | undefined {
    let best: WaitingTask | undefined;
    for (const [service, queue] of this.#queuesByService) {
      const first = queue.waiting > 0 && hasAvailableAgent(service)
        ? queue.findFirst(canPlace)
        : undefined;
      if (
        first !== undefined && (best === undefined || precedes(first, best))
      ) {
        best = first;
      }
    }
    return best;
  }

  /**
   * Adds the tasks that may run now to the number of runnable tasks by service.
   * @param runnable - Number of runnable tasks by service.
   * @param limit - Largest number of tasks to add.
   * @returns The number of added tasks.
   */
  addRunnable(runnable: Map<string, number>, limit: number): number {
    let remaining = Math.min(this.waiting, limit);
    const added = remaining;
    for (const [service, queue] of this.#queuesByService) {
      const count = Math.min(queue.waiting, remaining);
      runnable.set(service, (runnable.get(service) ?? 0) + count);
      remaining -= count;
    }
    return added;
  }

  /**
   * Removes a task that `findFirst` has found, or that was marked as removed.
   */
  remove(task: WaitingTask): void {
    const queue = this.#queuesByService.get(
      task.options.service,
    ) as ServiceQueue;
    if (task.isRemoved) {
      queue.waiting--;
    } else {
      queue.removeFirst(task);
    }
    this.waiting--;
    if (queue.waiting === 0) {
      this.#queuesByService.delete(task.options.service);
    }
  }
}

function precedes(task: WaitingTask, other: WaitingTask): boolean {
  const difference = task.options.priority - other.options.priority;
  return difference > 0 ||
    (difference === 0 && task.options.order < other.options.order);
}
