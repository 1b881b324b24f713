import type { FairQueueState } from "./fair_queue_state.ts";
import { ServiceQueue } from "./service_queue.ts";
import type { WaitingTask } from "./waiting_task.ts";

/** The waiting tasks of one team. */
export class TeamQueue implements FairQueueState {
  virtualTime = 0;
  waiting = 0;
  running = 0;
  readonly #lanes = new Map<string, ServiceQueue>();

  /** Adds a task. */
  add(task: WaitingTask): void {
    const { service } = task.options;
    const lane = this.#lanes.get(service) ?? new ServiceQueue();
    this.#lanes.set(service, lane);
    lane.add(task);
    this.waiting++;
  }

  /**
   * Finds the task to start: of the highest priority, then of the lowest order.
   * @param isReady - Can tasks of a service be placed at all?
   * @param canPlace - Can this task be placed?
   */
  findFirst(
    isReady: (service: string) => boolean,
    canPlace: (task: WaitingTask) => boolean,
  ): WaitingTask | undefined {
    let best: WaitingTask | undefined;
    for (const [service, lane] of this.#lanes) {
      const first = lane.waiting > 0 && isReady(service)
        ? lane.findFirst(canPlace)
        : undefined;
      if (
        first !== undefined && (best === undefined || isBefore(first, best))
      ) {
        best = first;
      }
    }
    return best;
  }

  /**
   * Adds the tasks that may run now to the number by service.
   * @param wanted - Number of tasks by service.
   * @param limit - Largest number of tasks to add.
   */
  addRunnable(wanted: Map<string, number>, limit: number): number {
    let rest = Math.min(this.waiting, limit);
    const added = rest;
    for (const [service, lane] of this.#lanes) {
      const count = Math.min(lane.waiting, rest);
      wanted.set(service, (wanted.get(service) ?? 0) + count);
      rest -= count;
    }
    return added;
  }

  /**
   * Removes a task that `findFirst` has found, or that was marked as removed.
   */
  remove(task: WaitingTask): void {
    const lane = this.#lanes.get(task.options.service) as ServiceQueue;
    if (task.isRemoved) {
      lane.waiting--;
    } else {
      lane.removeFirst(task);
    }
    this.waiting--;
    if (lane.waiting === 0) {
      this.#lanes.delete(task.options.service);
    }
  }
}

function isBefore(task: WaitingTask, other: WaitingTask): boolean {
  const difference = task.options.priority - other.options.priority;
  return difference > 0 ||
    (difference === 0 && task.options.order < other.options.order);
}
