import { TaskGroup } from "./task_group.ts";
import type { WaitingTask } from "./waiting_task.ts";

/** Number of priorities; they range from 0 to 9. */
const PRIORITY_COUNT = 10;

/**
 * Number of groups of one priority that a search tries; the others wait for a
 * later search. Groups differ in the one or two agents that they exclude, so
 * while two agents are available the first group can nearly always be placed.
 */
const MAX_TRIED_GROUPS = 16;

/**
 * The waiting tasks of one team and one service: by priority, then by the order
 * of their submissions.
 */
export class ServiceQueue {
  readonly #levels: TaskGroup[][] = Array.from(
    { length: PRIORITY_COUNT },
    () => [],
  );
  readonly #groups = new Map<string, TaskGroup>();
  waiting = 0;

  /** Adds a task. */
  add(task: WaitingTask): void {
    const id = getGroupId(task);
    let group = this.#groups.get(id);
    if (group === undefined) {
      group = new TaskGroup(task.options);
      this.#groups.set(id, group);
      insertByOrder(this.#getLevel(task), group);
    }
    group.add(task);
    this.waiting++;
  }

  /** Finds the first task that can be placed. */
  findFirst(
    canPlace: (task: WaitingTask) => boolean,
  ): WaitingTask | undefined {
    if (this.waiting === 0) {
      return undefined;
    }
    for (const level of this.#levels) {
      for (let n = 0; n < Math.min(level.length, MAX_TRIED_GROUPS); n++) {
        const { first, options } = level[n] as TaskGroup;
        if (first === undefined) {
          this.#groups.delete(getGroupId({ options }));
          level.splice(n--, 1);
        } else if (canPlace(first)) {
          return first;
        }
      }
    }
    return undefined;
  }

  /** Removes a task that `findFirst` has found. */
  removeFirst(task: WaitingTask): void {
    this.#groups.get(getGroupId(task))?.removeFirst();
    this.waiting--;
  }

  /**
   * Gets the groups of a task's priority; those of the highest priority come
   * first in the list of levels.
   */
  #getLevel({ options }: WaitingTask): TaskGroup[] {
    const highest = PRIORITY_COUNT - 1;
    const priority = Math.min(highest, Math.max(0, options.priority));
    return this.#levels[highest - Math.floor(priority)] as TaskGroup[];
  }
}

function getGroupId({ options }: Pick<WaitingTask, "options">): string {
  const { priority, avoidId = "", key } = options;
  return `${priority} ${avoidId} ${key}`;
}

/** Inserts a group after those of a lower or the same order. */
function insertByOrder(level: TaskGroup[], group: TaskGroup): void {
  let low = 0;
  let high = level.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((level[middle] as TaskGroup).options.order <= group.options.order) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  level.splice(low, 0, group);
}
