import { addToGroup } from "./add_to_group.ts";
import type { BatchTask } from "./batch_task.ts";
import type { JobTimers } from "./job_timers.ts";
import type { TaskState } from "./task_state.ts";

export interface PlacementScheduleOptions {
  timers: JobTimers;
  /** Places tasks of one step. They are `idle` when it is called. */
  place: (tasks: readonly BatchTask[]) => void;
  /** Called when the first of the tasks becomes due that are placed in one turn. */
  onDue: () => void;
}

/**
 * The planned placements of the tasks of one job. A task has one at most: a second one
 * would start the task beside its run, or cut the delay of a later one short.
 */
export class PlacementSchedule {
  readonly #options: PlacementScheduleOptions;
  #dueTasks: BatchTask[] = [];

  constructor(options: PlacementScheduleOptions) {
    this.#options = options;
  }

  /**
   * Plans to place a task after a delay, in milliseconds. Does nothing if its placement
   * is planned already, or if it has a run or a result.
   */
  addDelayed(task: BatchTask, delayMs: number): void {
    if (!canBePlaced(task.state)) {
      return;
    }
    task.state = "scheduled";
    this.#options.timers.start(delayMs, () => {
      task.state = "idle";
      if (task.step.sharesRack) {
        // A rack for one task may have no room for the others that are due.
        this.addDue(task);
      } else {
        this.#options.place([task]);
      }
    });
  }

  /**
   * Plans to place a task with others that are due in this turn of the event loop:
   * declined ones whose ends are in the same frame, and tasks of a group. Comes after
   * the status that follows the frame. Does nothing if its placement is planned
   * already, or if it has a run or a result.
   */
  addDue(task: BatchTask): void {
    if (!canBePlaced(task.state)) {
      return;
    }
    task.state = "due";
    if (this.#dueTasks.push(task) === 1) {
      this.#options.onDue();
      this.#options.timers.start(0, () => this.#placeDueTasks());
    }
  }

  #placeDueTasks(): void {
    const tasks = this.#dueTasks;
    this.#dueTasks = [];
    const byStep = new Map<number, BatchTask[]>();
    for (const task of tasks) {
      task.state = "idle";
      addToGroup(byStep, task.stepNumber, task);
    }
    const inOrder = [...byStep].sort(([a], [b]) => a - b);
    inOrder.forEach(([, ofStep]) => this.#options.place(ofStep));
  }
}

function canBePlaced(state: TaskState): boolean {
  switch (state) {
    case "blocked":
    case "idle":
      return true;
    case "scheduled":
    case "due":
    case "sent":
    case "lost":
    case "done":
      return false;
    default:
      return state satisfies never;
  }
}
